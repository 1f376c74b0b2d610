package runner

import "endiveroute.example/endive"

// TaskCount contains the counts of one task.
type TaskCount struct {
	Starts int `json:"starts"`
	// Running is the number of workers on which the task runs now, MostAtOnce the
	// highest such number so far.
	Running    int `json:"running"`
	MostAtOnce int `json:"mostAtOnce"`
	// Ends counts the ended attempts by their state.
	Ends map[endive.TaskState]int `json:"ends,omitempty"`
	// Workers lists the workers that started the task, in the order of the starts.
	Workers []endive.WorkerID `json:"workers"`
}

// WorkerCount contains the counts of one worker.
type WorkerCount struct {
	Size     endive.Resources `json:"size"`
	Used     endive.Resources `json:"used"`
	MostUsed endive.Resources `json:"mostUsed"`
	Running  int              `json:"running"`
	Commands int              `json:"commands"`
	Starts   int              `json:"starts"`
	// OverSize counts the starts that would have exceeded the worker's size. Such
	// an attempt fails at once.
	OverSize int `json:"overSize"`
	// LowEpoch counts the commands refused because of an outdated epoch,
	// LowSequence those with an outdated sequence number in the current epoch.
	LowEpoch    int `json:"lowEpoch"`
	LowSequence int `json:"lowSequence"`
	// TooLate counts the commands that arrived after their Endive-Not-After
	// deadline or were meant for an earlier run of the worker.
	TooLate int `json:"tooLate"`
	// Lapsed counts the attempts that were stopped because their lease expired.
	Lapsed int `json:"lapsed"`
	// StartsLeaving counts the tasks started while the worker was announcing its
	// shutdown (fault Leaving).
	StartsLeaving int `json:"startsLeaving"`
}

// Counts contains the totals over all workers.
type Counts struct {
	Starts int `json:"starts"`
	// Tasks is the number of distinct tasks that were started.
	Tasks int `json:"tasks"`
	// MostAtOnce is the highest number of workers that ran the same task at the
	// same time.
	MostAtOnce int `json:"mostAtOnce"`
	// StartedAgain counts the tasks that were started more than once.
	StartedAgain int `json:"startedAgain"`
	Running      int `json:"running"`
	// Ends counts the ended attempts by their state.
	Ends map[endive.TaskState]int `json:"ends"`
	// OverSize counts the starts that would have exceeded a worker's size, OverUsed
	// the workers whose peak usage exceeded their size.
	OverSize int `json:"overSize"`
	OverUsed int `json:"overUsed"`
	// Workers and ByTask contain the counts of each worker and task; a summary
	// omits them.
	Workers map[endive.WorkerID]WorkerCount `json:"workers,omitempty"`
	ByTask  map[endive.TaskID]TaskCount     `json:"byTask,omitempty"`
}
