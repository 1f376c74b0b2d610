package flow

import (
	"encoding/json"
	"fmt"
	"strings"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
)

// Tables of a pool's rows. The rows that the holder writes are in one partition of the store,
// chosen by the pool's name, so that one transaction can write any of them. The rows that the
// accepting entries write are spread over many partitions, since a partition executes one
// transaction at a time and may fail alone.
const (
	// tableWork has the submissions of live workflows. tableAccepted has a marker for each
	// accepted workflow until the workflow's last state is deleted; earlier builds know no other.
	tableWork     = "work."
	tableAccepted = "known."
	// tableIDs has a row for the id of each accepted workflow, in whichever pool it is.
	tableIDs = "ids"
	// tableState has the progress of live workflows. tableEnded has the last states of
	// archived workflows.
	tableState = "state."
	tableEnded = "ended."
	tableFence = "fence"
)

// Kinds of rows in the table of work.
const (
	kindJob    = "j."
	kindCancel = "c."
)

// workShards is the number of shards of a pool's work, which are spread over the store's
// partitions. A partition slowed down by a factor of 60 executes four transactions a second.
const workShards = 128

// WorkPrefix returns the key prefix of all rows of a pool's work. The holder follows it for new
// rows.
func WorkPrefix(pool endive.PoolName) string { return tableWork + string(pool) + "/" }

// WorkShardPrefixes returns the key prefixes of the shards of a pool's work, for scanning each
// separately.
func WorkShardPrefixes(pool endive.PoolName) []string {
	prefixes := make([]string, 0, workShards)
	for i := range workShards {
		prefixes = append(prefixes, shardPrefix(pool, i))
	}
	return prefixes
}

func shardPrefix(pool endive.PoolName, shard int) string {
	return fmt.Sprintf("%s%03d/", WorkPrefix(pool), shard)
}

// shardOf returns the shard of a workflow's submission.
func shardOf(id endive.JobID) int { return int(endive.Rendezvous("", string(id)) % workShards) }

// StatePrefix returns the key prefix of the progress rows of a pool's workflows.
func StatePrefix(pool endive.PoolName) string {
	return tableState + string(pool) + "/" + string(pool) + "/"
}

// FenceKey returns the key of a pool's fence row.
func FenceKey(pool endive.PoolName) string { return tableFence + "/" + string(pool) + "/fence" }

// RosterPrefix returns the key prefix of a pool's roster rows.
func RosterPrefix(pool endive.PoolName) string { return tableFence + "/" + string(pool) + "/roster." }

// rosterKey returns the key of one of a pool's roster rows.
func rosterKey(pool endive.PoolName, partition int) string {
	return fmt.Sprintf("%s%02d", RosterPrefix(pool), partition)
}

// StatusKey returns the key of the row in which a pool's holder publishes the pool's status
// to the other entries. It is in the table of leases, which all entries follow.
func StatusKey(pool endive.PoolName) string { return elect.Table + "/" + string(pool) + "/status" }

// JobKey returns the key of a workflow's submission.
func JobKey(pool endive.PoolName, id endive.JobID) string {
	return shardPrefix(pool, shardOf(id)) + kindJob + string(id)
}

// CancelKey returns the key of the row that requests a workflow's cancellation.
func CancelKey(pool endive.PoolName, id endive.JobID) string {
	return shardPrefix(pool, shardOf(id)) + kindCancel + string(id)
}

// AcceptedKey returns the key of the row that marks a workflow as accepted.
func AcceptedKey(pool endive.PoolName, id endive.JobID) string {
	return fmt.Sprintf("%s%s/%03d/%s", tableAccepted, pool, shardOf(id), id)
}

// EndedPrefix returns the key prefix of the last states of a pool's archived workflows.
func EndedPrefix(pool endive.PoolName) string {
	return tableEnded + string(pool) + "/" + string(pool) + "/"
}

// EndedKey returns the key of the last state of an archived workflow.
func EndedKey(pool endive.PoolName, id endive.JobID) string { return EndedPrefix(pool) + string(id) }

// StateKey returns the key of a workflow's progress.
func StateKey(pool endive.PoolName, id endive.JobID) string {
	return StatePrefix(pool) + string(id)
}

// Fence is the row that fences the writes of a pool's holder: each write is
// conditional on its version and replaces it.
type Fence struct {
	Epoch endive.Epoch `json:"epoch"`
	// Sequence counts the writes of the epoch. By it, a holder recognizes its own write
	// whose answer was lost.
	Sequence uint64 `json:"sequence"`
}

// Roster is one of the rows that together list the pool's workers that may have runs.
type Roster struct {
	Workers []RosterWorker `json:"workers"`
}

// RosterWorker is a worker in the roster. By the address, a holder can poll the worker when the
// platform doesn't list it any more.
type RosterWorker struct {
	ID      endive.WorkerID `json:"id"`
	Address endive.Address  `json:"address"`
	// Capacity limits what runs on the worker: it is the largest that the worker has had.
	Capacity endive.Resources `json:"capacity,omitzero"`
	// Draining is true if the worker had announced that it would leave.
	Draining bool `json:"draining,omitempty"`
	// Tasks are the tasks that may run on a draining worker, to which no others are sent, if
	// TasksKnown is true.
	Tasks      []endive.TaskID `json:"tasks,omitempty"`
	TasksKnown bool            `json:"tasksKnown,omitempty"`
	// Terminated is true if the worker is known to have terminated. It isn't stored.
	Terminated bool `json:"-"`
}

// Status is the row with the status of a pool.
type Status struct {
	// Pending counts the workflows of each queue of which no task has started.
	Pending map[endive.QueueName]int `json:"pending"`
	// PendingAt counts the same workflows by the addresses of their queues, as QueueAddress returns them:
	// a queue may be removed and another take its place. Earlier builds don't write it.
	PendingAt map[string]int `json:"pendingAt,omitempty"`
	// PendingCut is true if Pending or PendingAt leaves out queues, since the row had no space for all.
	PendingCut bool `json:"pendingCut,omitempty"`
	// Saturated is true if work waits for free capacity, so that new work won't start at once.
	Saturated bool `json:"crowded,omitempty"`
	// HeldBack are the accounts with tasks that wait for their caps.
	HeldBack []endive.AccountName `json:"heldBack,omitempty"`
	// Forecasts has the measured run times of the work of the queues that were used last.
	Forecasts map[endive.QueueName]*Forecast `json:"forecasts,omitempty"`
	// At is when the holder wrote the row.
	At endive.PlatformTime `json:"at"`
}

// QueueAddress returns the host and the prefix at which clients reach a queue.
func QueueAddress(queue endive.Queue) string { return strings.ToLower(queue.Host) + queue.Prefix }

// Progress is the row of a workflow's progress. A workflow that waits has none.
type Progress struct {
	State endive.WorkflowState `json:"state"`
	// Account is the client account that the workflow belongs to; empty for none.
	Account endive.AccountName `json:"account,omitempty"`
	// Occurrences lists the occurrences that have recorded progress.
	Occurrences []OccurrenceProgress `json:"occurrences,omitempty"`
	// FinishedBits has a bit for each occurrence, by its number from the lowest bit of the first byte:
	// 1 if all of its tasks have succeeded. It is used only if the row would be too large otherwise,
	// and the finished occurrences are then left out of Occurrences.
	FinishedBits []byte `json:"finishedBits,omitempty"`
}

// OccurrenceProgress is the recorded progress of one occurrence.
type OccurrenceProgress struct {
	Number int            `json:"number"`
	Steps  []StepProgress `json:"steps"`
}

// StepProgress is the recorded progress of one step.
type StepProgress struct {
	// Succeeded has a character for each task, in the order of their numbers: 1 if it has
	// succeeded, else 0. It is empty if no task has succeeded or if All is true.
	Succeeded string `json:"succeeded,omitempty"`
	// All is true if all tasks have succeeded.
	All bool `json:"all,omitempty"`
	// Tasks has the failures and checkpoints of tasks that haven't succeeded.
	Tasks []TaskProgress `json:"tasks,omitempty"`
	// GangFailed lists the runs of a gang that failed.
	GangFailed []endive.RunNumber `json:"gangFailed,omitempty"`
}

// TaskProgress is the recorded progress of a task that hasn't succeeded.
type TaskProgress struct {
	Index int `json:"index"`
	// Failed lists the runs that failed, so that each failure is counted once even if the
	// worker reports the end of the run again, or only after a later run on another worker
	// has ended.
	Failed     []endive.RunNumber `json:"failed,omitempty"`
	Checkpoint endive.Checkpoint  `json:"checkpoint,omitempty"`
	// Crashed lists the runs under which their workers crashed. CrashedIsolated are those of them
	// that had been started alone.
	Crashed         []endive.RunNumber `json:"crashed,omitempty"`
	CrashedIsolated []endive.RunNumber `json:"crashedIsolated,omitempty"`
	// CrashedLate lists the runs whose workers crashed later after the start. Earlier builds don't know
	// it.
	CrashedLate []endive.RunNumber `json:"crashedLate,omitempty"`
	// CrashedEarlier lists the runs whose workers crashed later after the start and before a run of
	// the task was seen alive for long. Earlier builds don't know it.
	CrashedEarlier []endive.RunNumber `json:"crashedEarlier,omitempty"`
	// CrashedProven lists those of all these runs whose workers have surely crashed, and CrashedUnproven has the
	// workers of the others, which may only be cut off. Earlier builds know neither.
	CrashedProven   []endive.RunNumber `json:"crashedProven,omitempty"`
	CrashedUnproven []UnprovenCrash    `json:"crashedUnproven,omitempty"`
	// ProofDeadline is until when the task waits for proof if there are too many of them. Earlier builds don't
	// know it.
	ProofDeadline endive.PlatformTime `json:"proofDeadline,omitempty"`
	// PendingRun is a run on PendingWorker, which hasn't been seen alive long enough after its
	// start. PendingShared is true if it wasn't started alone. PendingWorkerStart is when the
	// incarnation of the worker began, in milliseconds of Unix time.
	PendingRun         endive.RunNumber `json:"pendingRun,omitempty"`
	PendingShared      bool             `json:"pendingShared,omitempty"`
	PendingWorker      endive.WorkerID  `json:"pendingWorker,omitempty"`
	PendingWorkerStart int64            `json:"pendingWorkerStart,omitempty"`
	// PendingLeaseEnd is when all leases of the worker have surely expired, in milliseconds of Unix time.
	// PendingAddress and PendingMachine are the worker's. Earlier builds don't know any of them.
	PendingLeaseEnd int64            `json:"pendingLeaseEnd,omitempty"`
	PendingAddress  endive.Address   `json:"pendingAddress,omitempty"`
	PendingMachine  endive.MachineID `json:"pendingMachine,omitempty"`
}

// UnprovenCrash is a run and the incarnation of a worker that may have crashed under it.
type UnprovenCrash struct {
	Run    endive.RunNumber `json:"run"`
	Worker endive.WorkerID  `json:"worker"`
	// WorkerStart is when the incarnation began, and LeaseEnd when all of its leases have surely expired, in
	// milliseconds of Unix time.
	WorkerStart int64            `json:"workerStart,omitempty"`
	LeaseEnd    int64            `json:"leaseEnd,omitempty"`
	Address     endive.Address   `json:"address,omitempty"`
	Machine     endive.MachineID `json:"machine,omitempty"`
}

// empty reports whether nothing has to be recorded of the task.
func (p TaskProgress) empty() bool {
	return len(p.Failed) == 0 && p.Checkpoint == "" && len(p.Crashed) == 0 && len(p.CrashedLate) == 0 && len(p.CrashedEarlier) == 0 && p.PendingRun == 0
}

// workRow returns the kind of a row of the table of work and the workflow that it belongs to.
func workRow(pool endive.PoolName, key string) (kind, name string) {
	inPool, ok := strings.CutPrefix(key, WorkPrefix(pool))
	_, rest, inShard := strings.Cut(inPool, "/")
	if !ok || !inShard || len(rest) < len(kindJob) {
		return "", ""
	}
	return rest[:len(kindJob)], rest[len(kindJob):]
}

// encodeRow returns the JSON of a row. It panics on an error, since the types of rows can
// always be encoded.
func encodeRow(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("flow: a row can't be encoded: " + err.Error())
	}
	return data
}

// decodeRow decodes the JSON of a row.
func decodeRow(value []byte, into any) error { return json.Unmarshal(value, into) }

// FenceWrite returns the write that begins an epoch.
func FenceWrite(pool endive.PoolName, epoch endive.Epoch) endive.Write {
	return endive.Write{Key: FenceKey(pool), Value: encodeRow(Fence{Epoch: epoch})}
}
