package launch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/insts"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/stand/launch"
	"endiveroute.example/endive/store"
	"endiveroute.example/endive/table"
)

// The statuses that the state machine receives for a commit, in order.
var (
	applied          = []endive.CommitStatus{endive.CommitApplied}
	conflict         = []endive.CommitStatus{endive.CommitConflict}
	unavailable      = []endive.CommitStatus{endive.CommitUnavailable}
	unknownApplied   = []endive.CommitStatus{endive.CommitUnknown, endive.CommitApplied}
	unknownUnapplied = []endive.CommitStatus{endive.CommitUnknown, endive.CommitUnavailable}
)

// storeCase is a fault of the table service and the commit statuses that the store
// client must report.
type storeCase struct {
	name string
	// pooled commits another transaction first, so that its connection is reused;
	// faultFirst switches the fault on before that transaction.
	pooled, faultFirst bool
	fault              fault.Fault
	timeout            endive.Interval
	// conflicting writes the row first, so that the condition of the transaction
	// fails.
	conflicting bool
	// overwrites is the number of writes to the row by other clients while the
	// result of the commit is unknown.
	overwrites int
	// clearFault switches the fault off while the result of the commit is unknown.
	clearFault bool
	// awaitArrival waits until the table service has received the transaction.
	awaitArrival bool
	want         []endive.CommitStatus
}

var storeCases = []storeCase{
	{name: "no fault", want: applied},
	{name: "conflict", conflicting: true, want: conflict},
	{name: "conflict after a lost answer", conflicting: true, fault: fault.Fault{Kind: fault.LostAnswer, Count: 1}, want: unknownUnapplied},
	{name: "down once", fault: fault.Fault{Kind: fault.Down, Count: 1}, want: applied},
	{name: "down", fault: fault.Fault{Kind: fault.Down}, want: unavailable},
	{name: "lost answer", fault: fault.Fault{Kind: fault.LostAnswer, Count: 1}, want: unknownApplied},
	{name: "lost answer, pooled", pooled: true, fault: fault.Fault{Kind: fault.LostAnswer, Count: 1}, want: unknownApplied},
	{name: "lost answers while resolving the unknown commit", fault: fault.Fault{Kind: fault.LostAnswer, Count: 3}, want: unknownApplied},
	{name: "lost answer, row overwritten once", overwrites: 1, fault: fault.Fault{Kind: fault.LostAnswer, Count: 1}, want: unknownApplied},
	{name: "lost answer, row overwritten twice", overwrites: 2, fault: fault.Fault{Kind: fault.LostAnswer, Count: 1}, want: unknownApplied},
	{name: "truncated", fault: fault.Fault{Kind: fault.Truncated, Count: 1}, want: unknownApplied},
	{name: "swapped", pooled: true, fault: fault.Fault{Kind: fault.Swapped, Count: 1}, want: unknownApplied},
	{name: "duplicated", pooled: true, faultFirst: true, fault: fault.Fault{Kind: fault.Duplicated, Count: 1}, want: unknownUnapplied},
	{name: "repeated", fault: fault.Fault{Kind: fault.Repeated, Count: 1}, want: applied},
	{name: "fails", fault: fault.Fault{Kind: fault.FailAll, Count: 1}, want: unknownUnapplied},
	{name: "late answer", timeout: shortTimeout, fault: fault.Fault{Kind: fault.Late, Delay: longTimeout, Count: 1}, want: unknownApplied},
	{name: "late arrival", timeout: shortTimeout, fault: fault.Fault{Kind: fault.Slow, Delay: 3 * shortTimeout, Count: 1}, awaitArrival: true, want: unknownUnapplied},
	{name: "silent connection", pooled: true, timeout: shortTimeout, fault: fault.Fault{Kind: fault.Silent}, want: unknownUnapplied},
	{name: "cut off and back", timeout: shortTimeout, fault: fault.Fault{Kind: fault.Cut}, clearFault: true, want: unknownUnapplied},
}

func TestStore(t *testing.T) {
	for _, tt := range storeCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.run(t)
		})
	}
}

func (tt storeCase) run(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	client := tt.newStore(t, p)
	if tt.faultFirst {
		enableFault(p, fault.Table, tt.fault)
	}
	if tt.pooled {
		_, err := client.Commit(t.Context(), newTransaction("before", "tasks/1"))
		is.NoErr(err)
	}
	if tt.conflicting {
		commitDirectly(t, p, "other")
	}
	if !tt.faultFirst {
		enableFault(p, fault.Table, tt.fault)
	}
	events := make(chan endive.Event, 2)
	deliver := func(event endive.Event) {
		if event.(endive.Committed).Status == endive.CommitUnknown {
			tt.whileUnknown(t, p)
		}
		events <- event
	}
	is.True(client.Do(endive.Commit{Transaction: newTransaction("asked", "jobs/1")}, deliver))
	var last endive.Committed
	for _, status := range tt.want {
		last = (<-events).(endive.Committed)
		is.Equal(last.Status, status)
	}
	for tt.awaitArrival && p.Counts(false).Table.Kinds["jobs"].Writes == 0 {
		_, _ = insts.New(newRESTClient(), p.Addresses().Instances).List(t.Context())
	}
	p.Faults().Clear()
	tt.checkRow(t, p, last)
	if last.Status != endive.CommitUnavailable || len(tt.want) > 1 {
		_, err := client.Commit(t.Context(), newTransaction("after", "tasks/2"))
		is.NoErr(err) // the marker row is in step
	}
}

// whileUnknown overwrites the row and clears the fault, as the case says, while the
// result of the commit is unknown.
func (tt storeCase) whileUnknown(t *testing.T, p *launch.Platform) {
	for i := range tt.overwrites {
		commitDirectly(t, p, endive.WriteID(fmt.Sprint("other", i)))
	}
	if tt.clearFault {
		p.Faults().Clear()
	}
}

// checkRow verifies that the last status matches the content of the table.
func (tt storeCase) checkRow(t *testing.T, p *launch.Platform, last endive.Committed) {
	is := is.New(t)
	rows, err := table.New(newRESTClient(), p.Addresses().Table).Read(t.Context(), "jobs/1")
	is.NoErr(err)
	version := endive.Version(0)
	if len(rows) > 0 {
		version = rows[0].Version
	}
	others := endive.Version(tt.overwrites)
	if tt.conflicting {
		others++
	}
	is.Equal(version == others+1, last.Status == endive.CommitApplied) // the row was written exactly if the commit was reported as applied
	if last.Status == endive.CommitApplied {
		is.Equal(last.Result.Versions, []endive.Version{1})
		is.True(last.Result.Revision > 1)
	}
}

func (tt storeCase) newStore(t *testing.T, p *launch.Platform) *store.Client {
	var settings store.Settings
	settings.Backoff, settings.MaxBackoff, settings.BreakFor = 1, shortTimeout, 1
	settings.Timeout = longTimeout
	if tt.timeout != 0 {
		settings.Timeout = tt.timeout
	}
	settings.Defaults()
	random := rand.New(rand.NewPCG(1, 0))
	tableClient := table.New(newRESTClient(), p.Addresses().Table)
	client := store.New(tableClient, endive.SystemClock{}, random, "entry-1", "run1", settings)
	t.Cleanup(client.Close)
	return client
}

// newTransaction returns a transaction that creates a row.
func newTransaction(id endive.WriteID, key string) endive.Transaction {
	return endive.Transaction{
		WriteID:    id,
		Conditions: []endive.Condition{{Key: key}},
		Writes:     []endive.Write{{Key: key, Value: []byte(id)}},
	}
}

// commitDirectly writes the row of the test case without the store client.
func commitDirectly(t *testing.T, p *launch.Platform, id endive.WriteID) {
	t.Helper()
	txn := newTransaction(id, "jobs/1")
	txn.Conditions = nil
	if _, err := table.New(newRESTClient(), p.Addresses().Table).Commit(t.Context(), txn); err != nil {
		t.Error(err)
	}
}
