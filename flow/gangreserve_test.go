package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A gang whose known eligible workers stayed busy never asked about other workers while the advice
// service was more than half busy.
func TestGangIsNotSurveyedAgainInBusyPool(t *testing.T) {
	tests := []struct {
		since    time.Duration
		inFlight endive.Interval
		want     bool
	}{
		{3 * time.Second, 0, true},
		{3 * time.Second, inFlightCostPerClient / 2, false},
		{7 * time.Second, inFlightCostPerClient / 2, true},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.since, tt.inFlight), func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			m := &Machine{now: now, adviceClients: 1, sortedWorkers: make([]*worker, 10)}
			m.advice.inFlightCost = tt.inFlight
			s := &step{tickets: tickets{requestedAt: now.Add(-tt.since)}}
			is.New(t).Equal(m.mayResurvey(s), tt.want)
		})
	}
}
