package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A worker is cut off from the holder, and the platform hears it. No connection can be opened to it, so the polls that
// couldn't be sent mustn't count as renewals of its leases, and its tasks start elsewhere once these have expired.
func TestUnsentPollsRenewLeases(t *testing.T) {
	// restarted is by when the task has started again, after the start of the cut: the lease, the last poll with its wait,
	// and the slowest clock.
	const restarted = 7 * time.Second
	tests := []struct {
		name     string
		duration time.Duration
		// cutFor is the length of the cut.
		cutFor time.Duration
		starts int
	}{
		{"ends behind the cut", 700 * time.Millisecond, 9 * time.Second, 2},
		{"runs until its lease expires", 12 * time.Second, 9 * time.Second, 2},
		{"reports in time", 700 * time.Millisecond, 3 * time.Second, 1},
		{"is renewed in time", 12 * time.Second, 2 * time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, _, worker, id := newSilenceSimulation(t, stepOfTasks(1, tt.duration))
			worker.noConnection = true
			w.after(tt.cutFor, func() { worker.noConnection = false })
			w.run(1200*time.Millisecond + restarted)
			is.Equal(w.starts, tt.starts)
			w.run(30 * time.Second)
			w.checkViolations()
			is.Equal(w.state(id), endive.WorkflowSucceeded)
			is.Equal(w.starts, tt.starts)
		})
	}
}

// A poll that couldn't be sent takes back the lease in it, unless a later call has granted one, or the worker has restarted.
func TestUnsentPollTakesLeaseBack(t *testing.T) {
	const before, granted endive.WorkerTime = 1000, 2000
	tests := []struct {
		name   string
		change func(*worker, *openPoll)
		result OrderResult
		want   endive.WorkerTime
	}{
		{"couldn't be sent", func(*worker, *openPoll) {}, OrderNotSent, before},
		{"was refused", func(*worker, *openPoll) {}, OrderRefused, before},
		{"got no answer", func(*worker, *openPoll) {}, OrderUnknown, granted},
		{"was answered", func(*worker, *openPoll) {}, OrderAnswered, granted},
		{"renewed nothing", func(_ *worker, p *openPoll) { p.renews = false }, OrderNotSent, granted},
		{"another call granted the same since", func(w *worker, _ *openPoll) { w.leaseCalls++ }, OrderNotSent, granted},
		{"the worker has restarted", func(w *worker, _ *openPoll) { w.incarnations++ }, OrderNotSent, granted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorker("w0")
			w.leaseEnd, w.leaseCalls = granted, 7
			poll := openPoll{renews: true, lease: grantedLease{call: 7, before: before}}
			tt.change(w, &poll)
			w.recordUnsentPoll(poll, tt.result)
			is.Equal(w.leaseEnd, tt.want)
		})
	}
}
