package store

import (
	"context"

	"endiveroute.example/endive"
)

// fault is a failure that faultyTable simulates for one request.
type fault string

const (
	noFault     fault = "none"
	refused     fault = "refused"
	lostRequest fault = "lostRequest"
	lostAnswer  fault = "lostAnswer"
	// delayed delays a transaction, so that it arrives after later
	// transactions.
	delayed fault = "delayed"
	// deliverDelayed delivers the oldest delayed transaction before this request.
	deliverDelayed fault = "deliverDelayed"
	// twice applies the transaction twice.
	twice fault = "twice"
)

var faults = []fault{noFault, refused, lostRequest, lostAnswer, delayed, deliverDelayed, twice}

// faultyTable is an in-memory table. It simulates the faults in plan, one per
// request, and none after the end of plan.
type faultyTable struct {
	rows     map[string]endive.Row
	revision endive.Revision
	plan     []fault
	delayed  []endive.Transaction
}

func (t *faultyTable) nextFault() fault {
	if len(t.plan) == 0 {
		return noFault
	}
	m := t.plan[0]
	t.plan = t.plan[1:]
	return m
}

func (t *faultyTable) Commit(_ context.Context, txn endive.Transaction) (endive.CommitResult, error) {
	switch t.nextFault() {
	case refused:
		return endive.CommitResult{}, endive.ErrUnavailable.New("refused")
	case lostRequest:
		return endive.CommitResult{}, endive.ErrUnknown.New("lost request")
	case lostAnswer:
		_, _ = t.apply(txn)
		return endive.CommitResult{}, endive.ErrUnknown.New("lost answer")
	case delayed:
		t.delayed = append(t.delayed, txn)
		return endive.CommitResult{}, endive.ErrUnknown.New("delayed")
	case deliverDelayed:
		t.applyDelayed()
	case twice:
		_, _ = t.apply(txn)
	}
	return t.apply(txn)
}

// applyDelayed applies the oldest delayed transaction, if there is one.
func (t *faultyTable) applyDelayed() {
	if len(t.delayed) > 0 {
		_, _ = t.apply(t.delayed[0])
		t.delayed = t.delayed[1:]
	}
}

func (t *faultyTable) apply(txn endive.Transaction) (endive.CommitResult, error) {
	var conflicts []endive.Row
	for _, c := range txn.Conditions {
		if row := t.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return endive.CommitResult{}, endive.ErrConflict.Wrap(&endive.ConflictError{Rows: conflicts})
	}
	t.revision++
	result := endive.CommitResult{Revision: t.revision}
	for _, w := range txn.Writes {
		version := t.rows[w.Key].Version + 1
		t.rows[w.Key] = endive.Row{Key: w.Key, Version: version, Revision: t.revision, WriteID: txn.WriteID, Value: w.Value}
		result.Versions = append(result.Versions, version)
	}
	return result, nil
}

func (t *faultyTable) Read(_ context.Context, keys ...string) ([]endive.Row, error) {
	if t.nextFault() == refused {
		return nil, endive.ErrUnavailable.New("refused")
	}
	var rows []endive.Row
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (t *faultyTable) Scan(context.Context, string, endive.Revision) (endive.Changes, error) {
	return endive.Changes{}, endive.ErrUnavailable.New("not used")
}
