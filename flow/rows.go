package flow

import (
	"encoding/json"
	"fmt"
	"strings"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
)

// Tables of a pool's rows. What the holder writes is in one part, which the pool's name
// gives, so that one transaction can cover it. What entries write that accept work is
// spread over many parts: each carries out one transaction after the other, and may
// fail alone.
const (
	// tableWork has the submissions of work that lives, tableAccepted a mark for each
	// that was ever accepted and can still be asked for.
	tableWork     = "work."
	tableAccepted = "known."
	// tableState has the progress of work that lives, tableEnded the last states of
	// work that doesn't any more.
	tableState = "state."
	tableEnded = "ended."
	tableFence = "fence"
)

// Kinds of rows in the table of work.
const (
	kindJob    = "j."
	kindCancel = "c."
)

// workShards is over how many parts a pool's work is spread. Slow by a factor of 60, a part
// carries out four transactions a second.
const workShards = 128

// WorkPrefix returns what to follow for a pool's new work.
func WorkPrefix(pool endive.PoolName) string { return tableWork + string(pool) + "/" }

// WorkShardPrefixes returns what to scan, each by itself, for a pool's work.
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

// shardOf returns the part that a workflow's submission is in.
func shardOf(id endive.JobID) int { return int(endive.Rendezvous("", string(id)) % workShards) }

// StatePrefix returns what to scan for the progress of a pool's workflows.
func StatePrefix(pool endive.PoolName) string {
	return tableState + string(pool) + "/" + string(pool) + "/"
}

// FenceKey returns the row that each write of a pool's holder replaces.
func FenceKey(pool endive.PoolName) string { return tableFence + "/" + string(pool) + "/fence" }

// RosterPrefix returns what to scan for the workers that may run something.
func RosterPrefix(pool endive.PoolName) string { return tableFence + "/" + string(pool) + "/roster." }

// rosterKey returns the row of a part of them.
func rosterKey(pool endive.PoolName, partition int) string {
	return fmt.Sprintf("%s%02d", RosterPrefix(pool), partition)
}

// StatusKey returns the row in which a pool's holder tells the other entries how
// the pool fares. It is in the table of leases, which all entries follow.
func StatusKey(pool endive.PoolName) string { return elect.Table + "/" + string(pool) + "/status" }

// JobKey returns the row of a submission.
func JobKey(pool endive.PoolName, id endive.JobID) string {
	return shardPrefix(pool, shardOf(id)) + kindJob + string(id)
}

// CancelKey returns the row that asks for a workflow's cancelling.
func CancelKey(pool endive.PoolName, id endive.JobID) string {
	return shardPrefix(pool, shardOf(id)) + kindCancel + string(id)
}

// AcceptedKey returns the row that marks a workflow as accepted.
func AcceptedKey(pool endive.PoolName, id endive.JobID) string {
	return fmt.Sprintf("%s%s/%03d/%s", tableAccepted, pool, shardOf(id), id)
}

// EndedPrefix returns what to scan for the last states of a pool's workflows.
func EndedPrefix(pool endive.PoolName) string {
	return tableEnded + string(pool) + "/" + string(pool) + "/"
}

// EndedKey returns the row of the last state of a workflow that ended a while ago.
func EndedKey(pool endive.PoolName, id endive.JobID) string { return EndedPrefix(pool) + string(id) }

// SubmitTransaction returns the transaction that stores an encoded submission, unless it was
// stored before.
func SubmitTransaction(pool endive.PoolName, id endive.JobID, job []byte) endive.Transaction {
	known := AcceptedKey(pool, id)
	return endive.Transaction{
		Conditions: []endive.Condition{{Key: known}},
		Writes:     []endive.Write{{Key: known, Value: []byte("{}")}, {Key: JobKey(pool, id), Value: job}},
	}
}

// StateKey returns the row of a workflow's progress.
func StateKey(pool endive.PoolName, id endive.JobID) string {
	return StatePrefix(pool) + string(id)
}

// Fence is the row that fences the writes of a pool's holder: each write is
// conditional on its version and replaces it.
type Fence struct {
	Epoch endive.Epoch `json:"epoch"`
	// Sequence counts the writes of the epoch, so that a write whose answer was
	// lost is recognized.
	Sequence uint64 `json:"sequence"`
}

// Roster is the row of a part of the workers that may run something of the pool.
type Roster struct {
	Workers []RosterWorker `json:"workers"`
}

// RosterWorker is a worker in the roster. It can be asked at its address what it
// still runs when the platform doesn't list it any more.
type RosterWorker struct {
	ID      endive.WorkerID `json:"id"`
	Address endive.Address  `json:"address"`
	// Draining says that the worker had told that it would leave.
	Draining bool `json:"draining,omitempty"`
	// Terminated says that its life is known to be over; in no row.
	Terminated bool `json:"-"`
}

// Status is the row that tells how a pool fares.
type Status struct {
	// Pending counts the workflows of each queue of which no task has started.
	Pending map[endive.QueueName]int `json:"pending"`
	// Saturated says that work waits for room, so that new work won't start at once.
	Saturated bool `json:"crowded,omitempty"`
	// Forecasts is what was learned of how long the work of each queue takes.
	Forecasts map[endive.QueueName]*Forecast `json:"forecasts,omitempty"`
	// At is when the holder told so.
	At endive.PlatformTime `json:"at"`
}

// Progress is the row of a workflow's progress. A workflow that waits has none.
type Progress struct {
	State endive.WorkflowState `json:"state"`
	// Occurrences lists those of which something is recorded.
	Occurrences []OccurrenceProgress `json:"occurrences,omitempty"`
}

// OccurrenceProgress is the recorded progress of one occurrence.
type OccurrenceProgress struct {
	Number int            `json:"number"`
	Steps  []StepProgress `json:"steps"`
}

// StepProgress is the recorded progress of one step.
type StepProgress struct {
	// Succeeded has a 1 for each task that succeeded, in the order of their
	// numbers; left out where all are as All says.
	Succeeded string `json:"succeeded,omitempty"`
	// All says that all tasks have succeeded.
	All bool `json:"all,omitempty"`
	// Tasks lists what else is known of single tasks.
	Tasks []TaskProgress `json:"tasks,omitempty"`
	// GangFailed lists the runs of a gang that failed.
	GangFailed []endive.RunNumber `json:"gangFailed,omitempty"`
}

// TaskProgress is what is recorded of a task that hasn't succeeded.
type TaskProgress struct {
	Index int `json:"index"`
	// Failed lists the runs that failed. An end that is told again, or after a later
	// one by another worker, is counted once.
	Failed     []endive.RunNumber `json:"failed,omitempty"`
	Checkpoint endive.Checkpoint  `json:"checkpoint,omitempty"`
}

// workRow says what a row of the table of work is about.
func workRow(pool endive.PoolName, key string) (kind, name string) {
	inPool, ok := strings.CutPrefix(key, WorkPrefix(pool))
	_, rest, inShard := strings.Cut(inPool, "/")
	if !ok || !inShard || len(rest) < len(kindJob) {
		return "", ""
	}
	return rest[:len(kindJob)], rest[len(kindJob):]
}

// encodeRow returns the JSON of a row. The types of rows always have one.
func encodeRow(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("flow: a row can't be encoded: " + err.Error())
	}
	return data
}

// FenceWrite returns the write that begins an epoch.
func FenceWrite(pool endive.PoolName, epoch endive.Epoch) endive.Write {
	return endive.Write{Key: FenceKey(pool), Value: encodeRow(Fence{Epoch: epoch})}
}
