package main

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive/platform/stand"
)

const testTask = "00000000000000aa.0.0.1"

func newTestChecks() *checks {
	c := newChecks(&events{log: io.Discard})
	c.usage = stand.NewUsage(overage, applyTime)
	return c
}

// testRun returns a run of testTask that starts at second.
func testRun(worker string, number int64, second int) stand.Run {
	return stand.Run{Worker: worker, Task: testTask, Number: number, Started: time.Now().Add(time.Duration(second) * time.Second)}
}

func (c *checks) end(run stand.Run, reason string) {
	run.EndReason = reason
	c.RunEnded(run)
}

// startAndEnd records that a run starts and ends.
func (c *checks) startAndEnd(run stand.Run, reason string) {
	c.RunStarted(run)
	c.end(run, reason)
}

func TestLostEndsOfOneWorkerDontHideAnother(t *testing.T) {
	is := is.New(t)
	c := newTestChecks()
	cutOff, other := testRun("i-0", 1, 0), testRun("i-1", 2, 5)
	c.startAndEnd(cutOff, "lapsed")
	c.startAndEnd(other, "done")
	c.LeaseExpired([]stand.Run{cutOff})
	is.Equal(len(c.findings()), 0)

	c.RunStarted(testRun("i-2", 3, 6))

	is.Equal(len(c.findings()), 1) // run 2 was done, and its end isn't lost
}

func TestLostEndsMayRunAgain(t *testing.T) {
	is := is.New(t)
	c := newTestChecks()
	run := testRun("i-0", 1, 0)
	c.startAndEnd(run, "done")
	c.LeaseExpired([]stand.Run{run})
	c.RunStarted(testRun("i-1", 2, 5))
	is.Equal(len(c.findings()), 0)
}

func TestEachRunAtTheSameTimeIsAFinding(t *testing.T) {
	is := is.New(t)
	c := newTestChecks()
	c.RunStarted(testRun("i-0", 1, 0))
	c.RunStarted(testRun("i-1", 2, 0))
	c.end(testRun("i-0", 1, 0), "stopped")
	is.Equal(len(c.findings()), 1)

	c.RunStarted(testRun("i-2", 3, 0))

	is.Equal(len(c.findings()), 2) // run 2 goes on when run 1 has ended
}

func TestStartAfterJobIsShownAsCompleted(t *testing.T) {
	is := is.New(t)
	c := newTestChecks()
	run := testRun("i-0", 1, 0)
	c.startAndEnd(run, "done")
	c.jobCompleted(jobOf(testTask))
	c.LeaseExpired([]stand.Run{run})

	c.RunStarted(testRun("i-1", 2, 2))

	is.Equal(len(c.findings()), 1)
	is.True(strings.Contains(c.findings()[0], "TWICE"))
}

func TestSameRunElsewhereAfterItIsDone(t *testing.T) {
	is := is.New(t)
	c := newTestChecks()
	c.startAndEnd(testRun("i-0", 1, 0), "done")
	c.RunStarted(testRun("i-1", 1, 1))
	is.Equal(len(c.findings()), 1)
}

func TestCompletedJobWithoutAllTasksDoneIsAFinding(t *testing.T) {
	is := is.New(t)
	c := newTestChecks()
	c.addJob(jobOf(testTask), stand.Job{Steps: []stand.Step{{Tasks: 2}}})
	c.startAndEnd(testRun("i-0", 1, 0), "done")
	c.jobCompleted(jobOf(testTask))
	is.Equal(len(c.findings()), 1)
	is.True(strings.HasSuffix(c.findings()[0], stepOf(testTask)+".0 has never been done"))
}

func TestGangIsDoneWithOneMember(t *testing.T) {
	is := is.New(t)
	c := newTestChecks()
	c.addJob(jobOf(testTask), stand.Job{Steps: []stand.Step{{Tasks: 2, Gang: true}}})
	first, second := testRun("i-0", 1, 0), testRun("i-1", 1, 0)
	second.Task = stepOf(testTask) + ".0"
	c.startAndEnd(first, "done")
	c.startAndEnd(second, "stopped")
	is.Equal(len(c.findings()), 0) // the members of one run start at different times

	second.Number = 2
	c.RunStarted(second)

	is.Equal(len(c.findings()), 1)
}
