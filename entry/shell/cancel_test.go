package shell

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/lease"
	"endiveroute.example/endive/rows"
	"endiveroute.example/endive/setup"
	"endiveroute.example/endive/store"
)

const (
	testPool  endive.PoolName = "quoting"
	testSlice endive.SliceID  = "quoting.gogledd"
)

// lockedTable is a table in memory that is safe for concurrent use.
type lockedTable struct {
	mu    sync.Mutex
	table *fakes.MemoryTable
}

func (l *lockedTable) Commit(ctx context.Context, txn endive.Transaction) (endive.CommitResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Commit(ctx, txn)
}

func (l *lockedTable) Read(ctx context.Context, keys ...string) ([]endive.Row, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Read(ctx, keys...)
}

func (l *lockedTable) Scan(ctx context.Context, prefix string, after endive.Revision) (endive.Changes, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Scan(ctx, prefix, after)
}

// put writes a row.
func (l *lockedTable) put(t *testing.T, key string, value any) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.Commit(t.Context(), endive.Transaction{Writes: []endive.Write{{Key: key, Value: encoded}}}); err != nil {
		t.Fatal(err)
	}
}

// newHolder returns the shell of an entry that holds the only slice, and has read none of the
// slice's jobs.
func newHolder(t *testing.T, table endive.Table) *Shell {
	t.Helper()
	var settings store.Settings
	settings.Defaults()
	client := store.New(table, endive.SystemClock{}, rand.New(rand.NewPCG(1, 1)), "entry-1", "run1", settings)
	t.Cleanup(client.Close)
	s := New(Deps{
		Settings: setup.Settings{Name: "entry-1"}, Incarnation: "run1", Clock: endive.SystemClock{},
		Log: hclog.New(&hclog.LoggerOptions{Output: io.Discard}), Scope: tally.NoopScope, Store: client,
	})
	t.Cleanup(s.system.Shutdown)
	pool := endive.Pool{Name: testPool}
	config := endive.Config{Resources: map[endive.ResourceKey]endive.ConfiguredResource{pool.Key(): {Pool: &pool}}}
	worker := endive.Instance{ID: "quoting-1", Kind: endive.KindWorker, Pool: testPool, Region: "gogledd"}
	members := endive.MembersChanged{Self: s.self, Endpoints: endive.Endpoints{{Instance: worker}}}
	s.config.Store(&config)
	s.members.Store(&members)
	s.intake.send(endive.ConfigChanged{Config: config})
	s.intake.send(members)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placers[testSlice] = s.newPlacer(endive.Slice{ID: testSlice, Pool: testPool, Region: "gogledd"})
	s.holders[testSlice] = lease.Holder{Entry: s.self.ID}
	return s
}

// A job counts from the moment its client was told that it is accepted. A cancellation of all
// jobs of a team must include the jobs that the holder of their slice hasn't read yet: they
// would run on.
func TestCancellationIncludesJobsTheHolderHasNotRead(t *testing.T) {
	tests := []struct {
		name         string
		cancellation apiv1.Cancellation
		cancelled    []endive.JobID
	}{
		{"by team", apiv1.Cancellation{Team: "workshop"}, []endive.JobID{"a", "b"}},
		{"by name", apiv1.Cancellation{Name: "plans"}, []endive.JobID{"a", "c"}},
		{"by team and name", apiv1.Cancellation{Team: "workshop", Name: "plans"}, []endive.JobID{"a"}},
		{"by id", apiv1.Cancellation{Job: "c"}, []endive.JobID{"c"}},
		{"of another team", apiv1.Cancellation{Team: "other"}, nil},
	}
	jobs := []endive.Job{{ID: "a", Team: "workshop", Name: "plans"}, {ID: "b", Team: "workshop", Name: "cut"}, {ID: "c", Team: "cutters", Name: "plans"}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := &lockedTable{table: fakes.NewMemoryTable()}
			for _, job := range jobs {
				table.put(t, rows.JobKey(testSlice, job.ID), job)
			}
			s := newHolder(t, table)
			answer, err := s.Cancel(t.Context(), tt.cancellation)
			is.NoErr(err)
			is.Equal(answer.Jobs, len(tt.cancelled))
			changes, err := table.Scan(t.Context(), rows.CancelsPrefix(testSlice), 0)
			is.NoErr(err)
			var cancelled []endive.JobID
			for _, row := range changes.Rows {
				cancelled = append(cancelled, rows.ParseCancelKey(testSlice, row.Key))
			}
			is.Equal(cancelled, tt.cancelled)
		})
	}
}

// A job may end while a cancellation of it is recorded. That is no failure: the answer counts
// the jobs that hadn't ended.
func TestCancellationOfEndedJobIsAnswered(t *testing.T) {
	tests := []struct {
		name         string
		cancellation apiv1.Cancellation
	}{
		{"by id", apiv1.Cancellation{Job: "a"}},
		{"by team", apiv1.Cancellation{Team: "workshop"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := &lockedTable{table: fakes.NewMemoryTable()}
			for _, id := range []endive.JobID{"a", "b"} {
				table.put(t, rows.JobKey(testSlice, id), endive.Job{ID: id, Team: "workshop"})
			}
			s := newHolder(t, &endingTable{lockedTable: table, job: "a"})
			answer, err := s.Cancel(t.Context(), tt.cancellation)
			is.NoErr(err)
			changes, err := table.Scan(t.Context(), rows.CancelsPrefix(testSlice), 0)
			is.NoErr(err)
			is.Equal(answer.Jobs, len(changes.Rows))
			for _, row := range changes.Rows {
				is.Equal(row.Key, rows.CancelKey(testSlice, "b"))
			}
		})
	}
}

// endingTable is a table in which a job ends before the first read of its row by key.
type endingTable struct {
	*lockedTable
	job  endive.JobID
	once sync.Once
}

func (e *endingTable) Read(ctx context.Context, keys ...string) ([]endive.Row, error) {
	var err error
	e.once.Do(func() {
		_, err = e.Commit(ctx, endive.Transaction{Writes: []endive.Write{
			{Key: rows.JobKey(testSlice, e.job), Delete: true}, {Key: rows.EndedKey(e.job), Value: []byte("{}")},
		}})
	})
	if err != nil {
		return nil, err
	}
	return e.lockedTable.Read(ctx, keys...)
}
