// Package rows defines the keys and values of the job rows in the table service.
//
//	submissions/<key>            a Submission; created once
//	jobs/<slice>/<job>           an endive.Job; created by the entry that accepts the job
//	progress/<slice>/<job>       a Progress; written by the slice's holder, read
//	                             only by the next holder
//	rosters/<slice>              a Roster; written by the slice's holder
//	usage/<slice>                a Usage; written by the slice's holder
//	cancels/<slice>/<job>        empty; created by the entry that gets the
//	                             cancellation request
//	ended/<job>                  an endive.JobStatus; written by the slice's holder
//	                             when it deletes the job's other rows
package rows
