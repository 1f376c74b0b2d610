package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"endiveroute.example/endive"
)

// fastSettings has negligible waits between attempts.
var fastSettings = Settings{InFlight: 2, Backoff: 1, MaxBackoff: 1, BreakFor: 1}

func newClient(table endive.Table) *Client {
	settings := fastSettings
	settings.Defaults()
	return New(table, endive.SystemClock{}, rand.New(rand.NewPCG(1, 0)), "entry-1", "run1", settings)
}

// commit submits a transaction and returns all results that were delivered, the
// last of which is known.
func commit(client *Client, txn endive.Transaction) []endive.Committed {
	var all []endive.Committed
	events := make(chan endive.Committed, 2)
	client.Submit(txn, func(c endive.Committed) { events <- c })
	for {
		c := <-events
		all = append(all, c)
		if c.Status != endive.CommitUnknown {
			return all
		}
	}
}

// TestResolvedStatusMatchesTable checks with random faults that a transaction is
// in the table exactly if the client reports it as applied, and that the reported
// versions match. The faults include requests that arrive long after their
// timeout.
func TestResolvedStatusMatchesTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &faultyTable{rows: make(map[string]endive.Row)}
		table.plan = rapid.SliceOfN(rapid.SampledFrom(faults), 0, 40).Draw(t, "plan")
		client := newClient(table)
		defer client.Close()
		n := rapid.IntRange(1, 8).Draw(t, "transactions")
		resolved := make([]endive.Committed, n)
		for i := range n {
			shared := rapid.SampledFrom([]string{"jobs/a", "jobs/b"}).Draw(t, "shared")
			txn := endive.Transaction{
				WriteID: endive.WriteID(fmt.Sprint(i)),
				Writes:  []endive.Write{{Key: fmt.Sprint("own/", i)}, {Key: shared}},
			}
			if rapid.Bool().Draw(t, "conditional") {
				version := endive.Version(rapid.IntRange(0, 2).Draw(t, "version"))
				txn.Conditions = []endive.Condition{{Key: shared, Version: version}}
			}
			all := commit(client, txn)
			resolved[i] = all[len(all)-1]
			if len(all) > 2 {
				t.Fatalf("delivered %d times", len(all))
			}
		}
		for len(table.delayed) > 0 {
			table.applyDelayed()
		}
		for i, c := range resolved {
			row, written := table.rows[fmt.Sprint("own/", i)]
			if written != (c.Status == endive.CommitApplied) {
				t.Fatalf("transaction %d: reported %s, written %t", i, c.Status, written)
			}
			if written && (row.Version != 1 || row.Revision != c.Result.Revision || c.Result.Versions[0] != 1) {
				t.Fatalf("transaction %d: reported %+v, written %+v", i, c.Result, row)
			}
		}
	})
}

// TestBreakerAndRetries checks that the client sends fewer operations to a failing
// table service.
func TestBreakerAndRetries(t *testing.T) {
	is := is.New(t)
	table := &faultyTable{rows: make(map[string]endive.Row)}
	for range 1000 {
		table.plan = append(table.plan, refused)
	}
	settings := fastSettings
	settings.BreakFor = endive.MaxTimeout
	settings.Defaults()
	client := New(table, endive.SystemClock{}, rand.New(rand.NewPCG(1, 0)), "entry-1", "run1", settings)
	defer client.Close()
	for range 100 {
		_, err := client.Read(t.Context(), "jobs/a")
		is.True(endive.ErrUnavailable.Has(err))
	}
	counts := client.Counts()
	is.Equal(counts.Kinds["jobs"].Reads, uint64(DefaultBreakAfter))
	is.Equal(counts.Failures, uint64(DefaultBreakAfter))
	is.True(counts.Retries <= maxRetryTokens)
	is.True(counts.Rejected > 90)
}

// silentTable is a table that is unavailable. It is safe for concurrent use.
type silentTable struct{}

func (silentTable) Commit(context.Context, endive.Transaction) (endive.CommitResult, error) {
	return endive.CommitResult{}, endive.ErrUnavailable.New("silent")
}

func (silentTable) Read(context.Context, ...string) ([]endive.Row, error) {
	return nil, endive.ErrUnavailable.New("silent")
}

func (silentTable) Scan(context.Context, string, endive.Revision) (endive.Changes, error) {
	return endive.Changes{}, endive.ErrUnavailable.New("silent")
}

// submitter submits some hundred transactions.
type submitter struct {
	client *Client
	ended  chan struct{}
}

func (s *submitter) run() {
	for i := range 400 {
		s.client.Submit(endive.Transaction{WriteID: endive.WriteID(fmt.Sprint(i))}, func(endive.Committed) {})
	}
	close(s.ended)
}

// In a planned stop the roles of an entry still run while the client is closed. What they submit
// then must not be begun, and Close must wait for all that was. The race detector sees a
// violation.
func TestSubmitWhileClosing(t *testing.T) {
	is := is.New(t)
	for range 100 {
		client := newClient(silentTable{})
		s := &submitter{client: client, ended: make(chan struct{})}
		go s.run()
		client.Close()
		<-s.ended
		delivered := false
		client.Submit(endive.Transaction{WriteID: "late"}, func(endive.Committed) { delivered = true })
		client.Close()
		is.True(!delivered)
	}
}
