package cell

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/setup"
)

// twoAccounts returns the accounts a and b, the first with the given keys.
func twoAccounts(keys ...string) []map[string]any {
	return []map[string]any{
		{"name": "a", "api_keys": keys},
		{"name": "b", "api_keys": []string{"key-b"}},
	}
}

// switchedDirectory is a directory whose configuration can be made unreadable.
type switchedDirectory struct {
	endive.Directory
	unreadable *atomic.Bool
}

func (d switchedDirectory) Config(ctx context.Context, after endive.Revision, wait endive.Interval) (endive.ConfigResponse, error) {
	if d.unreadable.Load() {
		return endive.ConfigResponse{}, endive.ErrUnavailable.New("turned away")
	}
	response, err := d.Directory.Config(ctx, after, wait)
	if d.unreadable.Load() {
		return endive.ConfigResponse{}, endive.ErrUnavailable.New("turned away")
	}
	return response, err
}

// newAccountCluster returns a cluster with two accounts. Its last entry doesn't read the
// configuration from the store while the returned value is true.
func newAccountCluster(t *testing.T, change func(*setup.CellSettings)) (*testCluster, *atomic.Bool) {
	r := newTestCluster(t, 2, 0)
	r.putConfig(4, twoAccounts("key-a"))
	r.addEntry("entry-0")
	unreadable := &atomic.Bool{}
	r.directory = func(d endive.Directory) endive.Directory { return switchedDirectory{d, unreadable} }
	r.settings = change
	r.addEntry("entry-1")
	r.awaitReady()
	return r, unreadable
}

func access(c *Cell, path, key string) endive.Access { return c.Match("a.example", path, key).Access }

func TestCallsNeedKeys(t *testing.T) {
	is := is.New(t)
	r, _ := newAccountCluster(t, nil)
	c := r.cells[0]
	is.Equal(access(c, "/quick/", "key-a"), endive.AccessGranted)
	is.Equal(access(c, "/quick/", "key-b"), endive.AccessGranted)
	is.Equal(access(c, "/quick/", "another"), endive.AccessDenied)
	is.Equal(access(c, "/quick/", ""), endive.AccessDenied)
	is.Equal(access(c, "/public/", ""), endive.AccessGranted)
	is.Equal(access(c, "/public/", "key-a"), endive.AccessGranted)
	is.Equal(access(c, "/public/", "another"), endive.AccessDenied) // a wrong key is a mistake on any queue
	is.Equal(c.Match("a.example", "/public/", "key-a").Caller.Account, endive.AccountName("a"))
}

// A workflow belongs to the account that handed it in: no other account may read it, cancel it
// or take over its id, at any entry, while it runs and after its end.
func TestWorkflowBelongsToItsAccount(t *testing.T) {
	is := is.New(t)
	r, _ := newAccountCluster(t, nil)
	r.taskDuration = 0
	const id = "00000000000000aa"
	r.key = "key-a"
	r.submitAccepted(r.cells[0], "/quick/", id, 1, false)
	for _, c := range r.cells {
		r.key = "key-a"
		r.waitFor("the workflow runs", func() bool { return r.state(c, "/quick/", id) == endive.WorkflowRunning })
		r.submitAccepted(c, "/quick/", id, 1, false) // the same workflow again
		r.key = "key-b"
		is.Equal(r.state(c, "/quick/", id), endive.WorkflowState("not found: there is no workflow "+id))
		is.Equal(r.submit(c, "/quick/", id, 1, false).Status, endive.SubmitNotOwner)
		match := c.Match("a.example", "/quick/", "key-b")
		is.True(endive.ErrNotFound.Has(c.Cancel(t.Context(), match.Queue, match.Caller, id)))
	}
	match := r.cells[1].Match("a.example", "/quick/", "key-a")
	is.NoErr(r.cells[1].Cancel(t.Context(), match.Queue, match.Caller, id))
	for _, c := range r.cells {
		r.key = "key-a"
		r.waitFor("the workflow is cancelled", func() bool { return r.state(c, "/quick/", id) == endive.WorkflowCancelled })
		r.key = "key-b"
		is.Equal(r.state(c, "/quick/", id), endive.WorkflowState("not found: there is no workflow "+id))
	}
	r.checkInvariants()
}

// A key that is withdrawn while the store turns an entry away isn't served there any longer
// than elsewhere: the entry learns of the new version from another entry. It never goes back to
// an older one.
func TestWithdrawnKeyAtAnEntryThatTheStoreTurnsAway(t *testing.T) {
	is := is.New(t)
	r, unreadable := newAccountCluster(t, nil)
	cut := r.cells[1]
	r.waitFor("the entries are linked", func() bool { return len(cut.peers.linkedEntries()) == 1 })
	unreadable.Store(true)
	r.putConfig(9, twoAccounts("key-a2"))
	for _, c := range r.cells {
		r.waitFor("the key is withdrawn", func() bool { return access(c, "/quick/", "key-a") == endive.AccessDenied })
		is.Equal(access(c, "/quick/", "key-a2"), endive.AccessGranted)
	}
	cut.config.apply(&endive.CellConfig{Version: 4})
	is.Equal(cut.config.current().Version, endive.ConfigVersion(9))
}

// An entry that has just started doesn't take the configuration from another entry, which may
// itself be outdated: a withdrawn key would come back.
func TestNewEntryTakesNoConfigurationFromPeers(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 1, 1)
	unreadable := &atomic.Bool{}
	unreadable.Store(true)
	r.directory = func(d endive.Directory) endive.Directory { return switchedDirectory{d, unreadable} }
	late := r.addEntry("entry-1")
	r.waitFor("the entries are linked", func() bool { return len(late.peers.linkedEntries()) == 1 })
	is.True(!late.peerConfig.needed())
	is.Equal(late.Match("a.example", "/quick/", "").ConfigVersion, endive.ConfigVersion(0))
}

// With strict keys, an entry that can't confirm its configuration refuses calls with a key once
// the configuration is too old. Without them it serves on.
func TestStrictKeys(t *testing.T) {
	for _, strict := range []bool{true, false} {
		is := is.New(t)
		r, unreadable := newAccountCluster(t, func(s *setup.CellSettings) {
			s.Bounds.StrictKeys, s.Bounds.MaxKeyAge = strict, endive.Interval(2*time.Second)
		})
		cut := r.cells[1]
		is.Equal(access(cut, "/quick/", "key-a"), endive.AccessGranted)
		r.cells[0].Close() // nor can another entry confirm it
		unreadable.Store(true)
		r.waitFor("the configuration is old", func() bool { return cut.config.age() > 2*time.Second })
		want := endive.AccessGranted
		if strict {
			want = endive.AccessUnconfirmed
		}
		is.Equal(access(cut, "/quick/", "key-a"), want)
		is.Equal(access(cut, "/public/", ""), endive.AccessGranted)
		unreadable.Store(false)
		r.waitFor("the key is served again", func() bool { return access(cut, "/quick/", "key-a") == endive.AccessGranted })
	}
}

// No key appears in a log line.
func TestKeysAreNotLogged(t *testing.T) {
	is := is.New(t)
	r, _ := newAccountCluster(t, nil)
	r.key = "key-a"
	r.submitAccepted(r.cells[0], "/quick/", "00000000000000aa", 1, false)
	r.key = "wrong-key"
	access(r.cells[0], "/quick/", r.key)
	r.putConfig(9, append(twoAccounts("key-b"), map[string]any{"name": "c", "api_keys": 7}))
	r.waitFor("the findings are logged", func() bool { return len(r.log.lines("left out")) >= 4 })
	is.Equal(len(r.log.lines("key-a"))+len(r.log.lines("key-b"))+len(r.log.lines("wrong-key")), 0)
}

// A holder and an entry of a build without accounts write no account into the rows of progress
// and acceptance. The workflow of another account must not become readable by that.
func TestAccountMissingInRowsOfEarlierBuild(t *testing.T) {
	const id = "00000000000000ab"
	tests := []struct {
		name string
		rows map[string]any
	}{
		{"progress", map[string]any{
			flow.StateKey("svc", id): flow.Progress{State: endive.WorkflowSucceeded}, flow.AcceptedKey("svc", id): flow.Acceptance{Account: "a"},
		}},
		{"archived progress", map[string]any{
			flow.EndedKey("svc", id): flow.Progress{State: endive.WorkflowSucceeded}, flow.AcceptedKey("svc", id): flow.Acceptance{Account: "a"},
		}},
		{"acceptance of a relayed submission", map[string]any{
			flow.AcceptedKey("svc", id): flow.Acceptance{}, flow.JobKey("svc", id): endive.Submission{Account: "a"},
		}},
		{"progress and acceptance", map[string]any{
			flow.StateKey("svc", id): flow.Progress{State: endive.WorkflowRunning}, flow.AcceptedKey("svc", id): flow.Acceptance{},
			flow.JobKey("svc", id): endive.Submission{Account: "a"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestCluster(t, 0, 0)
			r.putConfig(4, twoAccounts("key-a"))
			c := r.addEntry("entry-0")
			r.awaitReady()
			for key, value := range tt.rows {
				table, partition, name := splitRowKey(key)
				is.NoErr(r.store.Put(table, partition, name, value))
			}
			for key, visible := range map[string]bool{"key-a": true, "key-b": false} {
				match := c.Match("a.example", "/quick/", key)
				_, _, err := c.findWorkflow(t.Context(), match.Queue, match.Caller, id)
				is.Equal(endive.ErrNotFound.Has(err), !visible)
			}
		})
	}
}

// splitRowKey splits the key of a row into its table, partition and name.
func splitRowKey(key string) (table, partition, name string) {
	table, rest, _ := strings.Cut(key, "/")
	partition, name, _ = strings.Cut(rest, "/")
	return table, partition, name
}

// The holder's metrics tell what each account runs, waits for and may run, and disappear when it
// isn't the holder any more.
func TestMetricsOfAccounts(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 2, 0)
	r.taskDuration = 0
	r.putConfig(4, []map[string]any{{"name": "a", "api_keys": []string{"key-a"}, "cap": map[string]int{"cpu": 3000}}})
	c := r.addEntry("entry-0")
	r.awaitReady()
	r.key = "key-a"
	r.submitAccepted(c, "/quick/", "00000000000000aa", 5, false)
	want := func(name string, value string) string {
		return name + `{account="a",pool="svc",resource="processors"} ` + value + "\n"
	}
	r.waitFor("the account is reported", func() bool {
		page := c.Counters.page.String()
		return strings.Contains(page, want("accountRunning", "3")) && strings.Contains(page, want("accountWaiting", "2")) &&
			strings.Contains(page, want("accountPart", "3")) && strings.Contains(page, want("accountCap", "3"))
	})
	c.poolNamed("svc").send(electMachine, elect.Release{})
	r.waitFor("the account isn't reported any more", func() bool { return c.Counters.page.String() == "" })
	is.Equal(len(r.violations), 0)
}
