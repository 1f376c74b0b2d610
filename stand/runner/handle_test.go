package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/rest"
	"endiveroute.example/endive/stand/serve"
)

// commandRequest returns a command with a start, void from a reading of the worker's clock on.
func commandRequest(t *testing.T, notAfter string) serve.Request {
	t.Helper()
	command := endive.WorkerCommand{Slice: "planner.gogledd", Epoch: 1, Sequence: 1, LeaseMillis: 1000, Start: start("a", "a.1", "forever", 1)}
	body, err := json.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	return serve.Request{Method: http.MethodPost, Path: "/v1/command", Header: http.Header{rest.HeaderNotAfter: {notAfter}}, Body: body}
}

// TestCommandAfterDeadlineIsRefused checks that a worker carries out no command at or after the
// command's deadline, when its sender has given it up, not even in the same millisecond.
func TestCommandAfterDeadlineIsRefused(t *testing.T) {
	const deadlineMillis = 5
	tests := []struct {
		name     string
		received time.Duration
		status   int
	}{
		{"before the deadline", 5*time.Millisecond - time.Nanosecond, http.StatusOK},
		{"at the deadline", 5 * time.Millisecond, http.StatusPreconditionFailed},
		{"in the millisecond after the deadline", 5*time.Millisecond + 999*time.Microsecond, http.StatusPreconditionFailed},
		{"later", 6 * time.Millisecond, http.StatusPreconditionFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock, journal := fakes.NewClock(), NewJournal()
			w := newWorker(clock, journal, "planner-1")
			clock.Advance(tt.received)
			answer := w.Handle(t.Context(), commandRequest(t, fmt.Sprintf("%s:%d", w.runID(), deadlineMillis)))
			is.Equal(answer.Status, tt.status)
			refused := 0
			if tt.status != http.StatusOK {
				refused = 1
			}
			counts := journal.Counts(true)
			is.Equal(counts.Workers["planner-1"].TooLate, refused)
			is.Equal(counts.Starts, 1-refused)
		})
	}
}
