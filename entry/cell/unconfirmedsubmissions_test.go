package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A workflow that may be stored must not be refused until it is known to be stored or
// unconfirmedRetention has passed.
func TestUnconfirmedSubmissionIsNotRefused(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name  string
		first endive.SubmitStatus
		later time.Duration
		want  endive.SubmitStatus
	}{
		{"refused after an unknown result", endive.SubmitUnknown, time.Second, endive.SubmitUnknown},
		{"refused long after an unknown result", endive.SubmitUnknown, unconfirmedRetention, endive.SubmitUnavailable},
		{"refused after a refusal", endive.SubmitUnavailable, time.Second, endive.SubmitUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var u unconfirmedSubmissions
			is.Equal(u.resolve(now, "a", endive.SubmitResult{Status: tt.first}).Status, tt.first)
			got := u.resolve(now.Add(tt.later), "a", endive.SubmitResult{Status: endive.SubmitUnavailable})
			is.Equal(got.Status, tt.want)
			is.Equal(u.resolve(now, "b", endive.SubmitResult{Status: endive.SubmitUnavailable}).Status, endive.SubmitUnavailable)
		})
	}
}

func TestUnconfirmedSubmissionsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var u unconfirmedSubmissions
	for i := range maxUnconfirmed + 1 {
		u.resolve(now.Add(time.Duration(i)*time.Millisecond), endive.JobID(fmt.Sprint(i)), endive.SubmitResult{Status: endive.SubmitUnknown})
	}
	is.Equal(len(u.lastTryAt), maxUnconfirmed)
	refused := endive.SubmitResult{Status: endive.SubmitUnavailable}
	is.Equal(u.resolve(now, "0", refused).Status, endive.SubmitUnavailable)
	is.Equal(u.resolve(now, "1", refused).Status, endive.SubmitUnknown)
}
