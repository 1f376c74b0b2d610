package flow

import (
	"fmt"
	"slices"

	"endiveroute.example/endive"
)

// IDKey returns the key of the row that shows that a workflow's id is in use.
func IDKey(id endive.JobID) string { return fmt.Sprintf("%s/%03d/%s", tableIDs, shardOf(id), id) }

// SubmitTransaction returns the transaction that stores an encoded submission in a pool, on the
// condition that it wasn't stored before, in this pool or in another: a queue may move to another pool
// between two submissions of the same workflow. known are the pools in which an entry of an earlier build
// may have stored it, without a row for its id.
func SubmitTransaction(pool endive.PoolName, known []endive.PoolName, id endive.JobID, account endive.AccountName, job []byte) endive.Transaction {
	return endive.Transaction{
		Conditions: unusedID(id, append(known, pool)),
		Writes: []endive.Write{
			{Key: IDKey(id), Value: encodeRow(Acceptance{Account: account, Pool: pool})},
			{Key: AcceptedKey(pool, id), Value: encodeRow(Acceptance{Account: account})},
			{Key: JobKey(pool, id), Value: job},
		},
	}
}

// RevokeTransaction returns the transaction that cancels a workflow which isn't stored, on the condition
// that it isn't: a submission that gets no answer may be written seconds later. The row of the id keeps
// it from being stored. An entry of an earlier build doesn't look at that row; the pool's holder cancels
// what it stores. The holder deletes both rows after the retention period.
func RevokeTransaction(pool endive.PoolName, known []endive.PoolName, id endive.JobID, account endive.AccountName) endive.Transaction {
	return endive.Transaction{
		Conditions: unusedID(id, append(known, pool)),
		Writes: []endive.Write{
			{Key: IDKey(id), Value: encodeRow(Acceptance{Account: account, Revoked: true})},
			CancelWrite(pool, id),
		},
	}
}

// CancelWrite returns the write that requests a workflow's cancellation.
func CancelWrite(pool endive.PoolName, id endive.JobID) endive.Write {
	row := cancelRow(pool, id)
	return endive.Write{Key: row.Key, Value: row.Value}
}

// cancelRow returns the row that requests a workflow's cancellation.
func cancelRow(pool endive.PoolName, id endive.JobID) endive.Row {
	return endive.Row{Key: CancelKey(pool, id), Value: []byte("{}")}
}

// unusedID returns the conditions that no workflow with the id is stored.
func unusedID(id endive.JobID, pools []endive.PoolName) []endive.Condition {
	conditions := []endive.Condition{{Key: IDKey(id)}}
	for _, pool := range pools {
		condition := endive.Condition{Key: AcceptedKey(pool, id)}
		if !slices.Contains(conditions, condition) {
			conditions = append(conditions, condition)
		}
	}
	return conditions
}

// Acceptance is the row that marks a workflow as accepted.
type Acceptance struct {
	// Account is the client account that the workflow belongs to; empty for none.
	Account endive.AccountName `json:"account,omitempty"`
	// Pool is the pool in which the workflow is stored; only in the row of its id.
	Pool endive.PoolName `json:"pool,omitempty"`
	// Revoked is true if the workflow was cancelled before it was stored, so that it never will be;
	// only in the row of its id.
	Revoked bool `json:"revoked,omitempty"`
}

// DecodeAcceptance decodes the row that marks a workflow as accepted.
func DecodeAcceptance(row endive.Row) (Acceptance, error) {
	var acceptance Acceptance
	return acceptance, decodeRow(row.Value, &acceptance)
}
