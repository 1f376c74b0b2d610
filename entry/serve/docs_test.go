package serve

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/setup"
)

// TestDocs checks that docs/API.md names every call, header, error code and job
// state.
func TestDocs(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/API.md")
	is.NoErr(err)
	f := newFixture(setup.Limits{})
	words := []string{
		apiv1.HeaderTimeout, apiv1.HeaderKey, apiv1.HeaderNonIdempotent, apiv1.HeaderOutcome, apiv1.HeaderReason,
		apiv1.HeaderRequest, apiv1.HeaderRepeated, apiv1.HeaderScope, apiv1.HeaderRetryAfter, apiv1.PathHealth, apiv1.PathReady, apiv1.PathMetrics,
	}
	for _, code := range []apiv1.ErrorCode{
		apiv1.CodeInvalid, apiv1.CodeTooLarge, apiv1.CodeMethodNotAllowed, apiv1.CodeNotFound, apiv1.CodeConflict,
		apiv1.CodeRefused, apiv1.CodeBusy, apiv1.CodeUnavailable, apiv1.CodeUnknown, apiv1.CodeInternal,
	} {
		words = append(words, "| `"+string(code)+"` | ")
	}
	for _, state := range []apiv1.JobState{
		apiv1.JobWaiting, apiv1.JobRunning, apiv1.JobSucceeded, apiv1.JobFailed, apiv1.JobCancelling,
		apiv1.JobCancelled, apiv1.JobParked, apiv1.JobUnknown,
	} {
		words = append(words, "`"+string(state)+"`")
	}
	routes := append(f.requestRoutes(), f.jobRoutes()...)
	routes = append(append(routes, f.ticketRoutes()...), f.stateRoutes()...)
	for _, one := range routes {
		words = append(words, "`"+one.method+" "+one.path+"`")
	}
	for _, word := range words {
		if !strings.Contains(string(page), word) {
			t.Errorf("docs/API.md doesn't name %s", word)
		}
	}
}
