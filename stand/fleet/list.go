package fleet

import (
	"context"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/insts"
	"endiveroute.example/endive/rest"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/stand/serve"
)

// retention is how long old snapshots are kept. The delay of fault Lag must not be
// longer.
const retention = 10 * time.Minute

// snapshot is the content of the list from a point in time on.
type snapshot struct {
	since time.Time
	// version is the number of changes of the list so far.
	version   int
	instances []endive.Instance
}

// List stores the instances and the history of their states. It is safe for
// concurrent use.
type List struct {
	clock  endive.Clock
	faults *fault.Set
	target fault.Target

	mu        sync.Mutex
	snapshots []snapshot
	version   int
	reads     int
}

// New returns an empty list. Fault Lag at the target delays the states that it
// serves.
func New(clock endive.Clock, faults *fault.Set, target fault.Target) *List {
	return &List{clock: clock, faults: faults, target: target}
}

// Reads returns the number of times that clients have read the list.
func (l *List) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Put adds or replaces an instance.
func (l *List) Put(i endive.Instance) {
	l.update(i.ID, func(list []endive.Instance) []endive.Instance { return append(list, i) })
}

// Remove removes an instance from the list.
func (l *List) Remove(id string) {
	l.update(id, func(list []endive.Instance) []endive.Instance { return list })
}

// SetLeaving sets whether the instance is marked as leaving.
func (l *List) SetLeaving(id string, leaving bool) {
	for _, i := range l.Current() {
		if i.ID == id && i.Leaving != leaving {
			i.Leaving = leaving
			l.Put(i)
		}
	}
}

// Current returns the instances without lag.
func (l *List) Current() []endive.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instancesAt(l.clock.Now())
}

// update appends a snapshot: the newest one without the named instance, changed by
// add. It deletes the snapshots that are older than the retention.
func (l *List) update(id string, add func([]endive.Instance) []endive.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var next []endive.Instance
	for _, i := range l.instancesAt(now) {
		if i.ID != id {
			next = append(next, i)
		}
	}
	next = add(next)
	sort.Slice(next, func(i, j int) bool { return next[i].ID < next[j].ID })
	l.version++
	l.snapshots = append(l.snapshots, snapshot{now, l.version, next})
	for len(l.snapshots) > 1 && l.snapshots[1].since.Before(now.Add(-retention)) {
		l.snapshots = l.snapshots[1:]
	}
}

// instancesAt returns the instances on the list at time t.
func (l *List) instancesAt(t time.Time) []endive.Instance { return l.snapshotAt(t).instances }

// snapshotAt returns the snapshot that was current at time t, or an empty one if t
// is before the first.
func (l *List) snapshotAt(t time.Time) snapshot {
	i := sort.Search(len(l.snapshots), func(i int) bool { return l.snapshots[i].since.After(t) })
	if i == 0 {
		return snapshot{}
	}
	return l.snapshots[i-1]
}

// Handle implements serve.Handler.
func (l *List) Handle(_ context.Context, r serve.Request) serve.Answer {
	if r.Path != "/v1/instances" || r.Method != http.MethodGet {
		return serve.Text(http.StatusNotFound, "no such path: "+r.Method+" "+r.Path)
	}
	lag, _ := l.faults.On(l.target, fault.Lag)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	listed := l.snapshotAt(l.clock.Now().Add(-time.Duration(lag.Delay)))
	etag := `"` + strconv.Itoa(listed.version) + `"`
	answer := serve.Answer{Status: http.StatusNotModified}
	if r.Header.Get(rest.HeaderIfNoneMatch) != etag {
		answer = serve.JSON(http.StatusOK, insts.List{Instances: append([]endive.Instance{}, listed.instances...)})
	}
	answer.Header = http.Header{http.CanonicalHeaderKey(rest.HeaderETag): {etag}}
	return answer
}

// ResetHistory drops the history, as if the list had always had its current
// content.
func (l *List) ResetHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.snapshots = []snapshot{{version: l.version, instances: l.instancesAt(l.clock.Now())}}
}
