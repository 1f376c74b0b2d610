package rows

import "endiveroute.example/endive"

// Submission records the job that was submitted under an idempotency key.
type Submission struct {
	Job endive.JobID `json:"job"`
	// Digest is the digest of the submitted content. A submission of other content under
	// the same key is a conflict.
	Digest string         `json:"digest"`
	Slice  endive.SliceID `json:"slice"`
}
