package flow

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// The files testdata/builds/COMMIT.rows have rows as the build of that commit wrote them in a run,
// a key and a value a line. Today's code must read them to the right values, for entries of that
// build run beside today's during an upgrade.

// earlierBuild is what a build wrote. 4c13deb knows no accounts.
type earlierBuild struct {
	commit string
	// a and b are the accounts of the workflows.
	a, b endive.AccountName
	// half is a workflow of which a task is left, and failing one whose two tasks have failed twice.
	half, failing endive.JobID
	failedRuns    [2][]endive.RunNumber
	leaving       RosterWorker
}

var earlierBuilds = []earlierBuild{
	{
		commit: "4c13deb", half: "a000000000000000", failing: "f000000000000002",
		failedRuns: [2][]endive.RunNumber{{1000018, 1000034}, {1000019, 1000035}},
		leaving:    RosterWorker{ID: "i-0", Address: "127.0.0.1:38239", Draining: true},
	},
	{
		commit: "99b8d0f", a: "a", b: "b", half: "a000000000000002", failing: "f000000000000002",
		failedRuns: [2][]endive.RunNumber{{1000014, 1000025}, {1000017, 1000028}},
		leaving: RosterWorker{
			ID: "i-0", Address: "127.0.0.1:39047", Capacity: endive.Resources{Processors: 16000, Memory: 64 * endive.GiB, Accelerators: 2},
			Draining: true, TasksKnown: true, Tasks: []endive.TaskID{
				"e000000000000000.0.0.0", "e000000000000000.0.0.1", "f000000000000000.0.0.0", "f000000000000001.0.0.0",
				"f000000000000001.0.0.1", "f000000000000002.0.0.0", "f000000000000002.0.0.1",
			},
		},
	},
}

const earlierPool endive.PoolName = "svc"

// rows returns the rows of a build by their keys.
func (b earlierBuild) rows(t *testing.T) map[string][]byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "builds", b.commit+".rows"))
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string][]byte)
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		key, value, _ := strings.Cut(line, " ")
		rows[key] = []byte(value)
	}
	return rows
}

// withUnknownFields adds a field that no build knows to each object of a row, except to those that
// are maps.
func withUnknownFields(t *testing.T, value []byte) []byte {
	t.Helper()
	var decoded any
	if err := json.Unmarshal(value, &decoded); err != nil {
		t.Fatal(err)
	}
	addUnknownField(decoded)
	return encodeRow(decoded)
}

func addUnknownField(value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, field := range v {
			if name != "pending" && name != "forecasts" {
				addUnknownField(field)
			}
		}
		v["ofALaterBuild"] = map[string]any{"runs": []int{1, 2}}
	case []any:
		for _, element := range v {
			addUnknownField(element)
		}
	}
}

// checkRows checks that the rows of a build are decoded to the right values.
func (b earlierBuild) checkRows(t *testing.T, rows map[string][]byte) {
	is := is.New(t)
	decode := func(key string, into any) {
		t.Helper()
		is.True(rows[key] != nil)
		is.NoErr(decodeRow(rows[key], into))
	}
	var half, failing, running, ended Progress
	decode(StateKey(earlierPool, b.half), &half)
	is.Equal(half, Progress{State: endive.WorkflowRunning, Account: b.a, Occurrences: []OccurrenceProgress{
		{Steps: []StepProgress{{All: true}, {Succeeded: "01"}}},
	}})
	decode(StateKey(earlierPool, b.failing), &failing)
	is.Equal(failing, Progress{State: endive.WorkflowRunning, Account: b.a, Occurrences: []OccurrenceProgress{
		{Steps: []StepProgress{{Tasks: []TaskProgress{{Index: 0, Failed: b.failedRuns[0]}, {Index: 1, Failed: b.failedRuns[1]}}}}},
	}})
	decode(StateKey(earlierPool, "e000000000000002"), &running)
	is.Equal(running, Progress{State: endive.WorkflowRunning, Account: b.a})
	decode(EndedKey(earlierPool, "d000000000000002"), &ended)
	is.Equal(ended, Progress{State: endive.WorkflowCancelled, Account: b.b})

	acceptance, err := DecodeAcceptance(endive.Row{Value: rows[AcceptedKey(earlierPool, "a000000000000001")]})
	is.NoErr(err)
	is.Equal(acceptance, Acceptance{Account: b.a})
	var gang endive.Submission
	decode(JobKey(earlierPool, "b000000000000001"), &gang)
	is.Equal(gang.Workflow.Steps, []endive.Step{
		{Tasks: 2, Need: endive.Resources{Processors: 1000}, Estimate: endive.Interval(300 * time.Millisecond), Gang: true},
	})
	is.Equal(gang.Policy, endive.Queue{
		Name: "slow", Host: "a.example", Prefix: "/slow/", Pool: earlierPool, MaxAttempts: 3, SlackFactor: 2, Grace: endive.Interval(600 * time.Millisecond),
		Advice: endive.AdvicePolicy{Base: endive.Interval(5 * time.Millisecond), PerWorker: endive.Interval(500 * time.Microsecond), Validity: endive.Interval(2 * time.Second)},
	})
	is.Equal(gang.Account, b.b)
	is.True(gang.Advised)

	var fence Fence
	decode(FenceKey(earlierPool), &fence)
	is.True(fence.Epoch > 1 && fence.Sequence > 0)
	var roster Roster
	decode(rosterKey(earlierPool, rosterPartition("i-0")), &roster)
	is.Equal(roster.Workers[0], b.leaving)
	var status Status
	decode(StatusKey(earlierPool), &status)
	is.True(status.At > 0)
	is.True(status.Forecasts["quick"] != nil)
}

func TestRowsOfEarlierBuilds(t *testing.T) {
	for _, build := range earlierBuilds {
		t.Run(build.commit, func(t *testing.T) {
			rows := build.rows(t)
			build.checkRows(t, rows)
			for key, value := range rows {
				rows[key] = withUnknownFields(t, value)
			}
			build.checkRows(t, rows)
		})
	}
}

// A holder takes a pool over from a holder of an earlier build: what had succeeded isn't started
// again, and what had failed counts.
func TestTakeoverFromEarlierBuild(t *testing.T) {
	for _, build := range earlierBuilds {
		t.Run(build.commit, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 1, faults{})
			w.accounts = faultAccounts()
			w.addWorker("i-0", endive.Resources{Processors: 16000, Memory: 64 * endive.GiB})
			w.addWorker("i-3", endive.Resources{Processors: 16000, Memory: 64 * endive.GiB})
			for key, value := range build.rows(t) {
				w.addRowOfEarlierBuild(key, value)
			}
			for _, task := range []endive.TaskID{".0.0.0", ".0.0.1", ".0.0.2", ".0.1.1"} {
				w.succeeded[endive.TaskID(build.half)+task], w.everSucceeded[endive.TaskID(build.half)+task] = true, true
			}
			h := w.startHolder()
			w.run(40 * time.Millisecond)
			for n, failed := range build.failedRuns {
				is.Equal(h.machine.jobs[build.failing].occurrences[0].steps[0].tasks[n].failedRuns, failed)
			}
			is.Equal(h.machine.jobs[build.half].account, build.a)
			w.run(12 * time.Second)
			w.checkViolations()
			is.Equal(w.state(build.half), endive.WorkflowSucceeded)
			is.Equal(w.successCount[endive.TaskID(build.half+".0.1.0")], 1)
			is.Equal(w.successCount[endive.TaskID(build.half+".0.1.1")], 0) // it had succeeded before
			is.Equal(w.successCount[endive.TaskID(build.half+".0.0.0")], 0)
			is.Equal(w.state(build.failing), endive.WorkflowSucceeded)
		})
	}
}

// addRowOfEarlierBuild adds a row to the store of the simulation, whose pool has another name.
func (w *simulation) addRowOfEarlierBuild(key string, value []byte) {
	key = strings.ReplaceAll(key, string(earlierPool), string(testPool))
	w.version++
	w.rows[key] = endive.Row{Key: key, Version: w.version, Value: value}
	kind, name := workRow(testPool, key)
	if kind != kindJob {
		return
	}
	var s endive.Submission
	if err := decodeRow(value, &s); err != nil {
		w.t.Fatal(err)
	}
	w.jobs[endive.JobID(name)] = &fakeJob{workflow: s.Workflow, policy: s.Policy, account: s.Account}
}
