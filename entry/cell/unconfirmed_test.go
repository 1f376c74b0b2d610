package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// What may be stored is never called refused, until it is known to be stored or can't be
// any more.
func TestUnconfirmedSubmissionIsNotRefused(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name  string
		first endive.SubmitStatus
		later time.Duration
		want  endive.SubmitStatus
	}{
		{"refused after an unknown fate", endive.SubmitUnknown, time.Second, endive.SubmitUnknown},
		{"refused long after it", endive.SubmitUnknown, unconfirmedRetention, endive.SubmitUnavailable},
		{"refused after a refusal", endive.SubmitUnavailable, time.Second, endive.SubmitUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var f unconfirmedSubmissions
			is.Equal(f.resolve(now, "a", endive.SubmitResult{Status: tt.first}).Status, tt.first)
			got := f.resolve(now.Add(tt.later), "a", endive.SubmitResult{Status: endive.SubmitUnavailable})
			is.Equal(got.Status, tt.want)
			is.Equal(f.resolve(now, "b", endive.SubmitResult{Status: endive.SubmitUnavailable}).Status, endive.SubmitUnavailable)
		})
	}
}

func TestUnconfirmedSubmissionsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var f unconfirmedSubmissions
	for i := range maxUnconfirmed + 1 {
		f.resolve(now.Add(time.Duration(i)*time.Millisecond), endive.JobID(fmt.Sprint(i)), endive.SubmitResult{Status: endive.SubmitUnknown})
	}
	is.Equal(len(f.lastTryAt), maxUnconfirmed)
	refused := endive.SubmitResult{Status: endive.SubmitUnavailable}
	is.Equal(f.resolve(now, "0", refused).Status, endive.SubmitUnavailable)
	is.Equal(f.resolve(now, "1", refused).Status, endive.SubmitUnknown)
}
