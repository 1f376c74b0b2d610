package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// stateServer is an entry that shows all jobs in one state.
type stateServer struct{ state string }

// ServeHTTP implements http.Handler.
func (s stateServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, `{"state":"`+s.state+`"}`)
}

// lookAt returns clients that have looked at a job in a state under which workers have crashed, and the description of the
// state.
func lookAt(t *testing.T, state string, outstanding, restarts bool, crashes int) (*clients, string) {
	t.Helper()
	server := httptest.NewServer(stateServer{state: state})
	t.Cleanup(server.Close)
	s := &soak{checks: newTestChecks()}
	s.restarter = newRestarter(s, restarts, 1)
	for i := range crashes {
		run := testRun(fmt.Sprintf("i-%d", i), int64(i), 0)
		run.Task = "aa.0.0.0"
		s.checks.RunStarted(run)
		s.checks.end(run, "died")
	}
	s.accounts = newAccounts(s, false, 1)
	c := newClients(s, steadyAccount, 1)
	if outstanding {
		c.outstanding["aa"] = true
	}
	return c, c.look(&entry{name: "entry-0", clientAddress: strings.TrimPrefix(server.URL, "http://")}, "aa")
}

func TestJobShownAsFailedIsAFinding(t *testing.T) {
	for _, state := range []string{"failed", "cancelled"} {
		is := is.New(t)
		c, _ := lookAt(t, state, true, true, minCrashes-1)
		is.Equal(len(c.soak.checks.findings()), 1)
		is.True(strings.Contains(c.soak.checks.findings()[0], "LOST: job aa of steady is shown as "+state))
		is.Equal(len(c.outstandingJobs()), 0) // one finding is enough
	}
}

func TestJobMayFailAfterCrashesUnderOneTask(t *testing.T) {
	for _, tt := range []struct {
		name, state string
		restarts    bool
		findings    int
	}{
		{"workers restart under long tasks", "failed", true, 0},
		{"the faults of earlier soaks", "failed", false, 1},
		{"nobody has cancelled it", "cancelled", true, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, _ := lookAt(t, tt.state, true, tt.restarts, minCrashes)
			is.Equal(len(c.soak.checks.findings()), tt.findings)
			is.Equal(c.soak.checks.givenUp, 1-tt.findings)
			is.Equal(len(c.outstandingJobs()), 0)
		})
	}
}

func TestOtherStatesAreNoFindings(t *testing.T) {
	is := is.New(t)
	c, state := lookAt(t, "running", true, false, 0)
	is.Equal(state, "running") // isn't finished yet
	is.Equal(len(c.soak.checks.findings()), 0)
	is.Equal(len(c.outstandingJobs()), 1)

	c, state = lookAt(t, "completed", true, false, 0)
	is.Equal(state, "")
	is.Equal(len(c.outstandingJobs()), 0)

	c, _ = lookAt(t, "cancelled", false, false, 0) // cancelled by its client meanwhile
	is.Equal(len(c.soak.checks.findings()), 0)
}
