package flow

import (
	"time"

	"endiveroute.example/endive"
)

// A probe is a poll of a worker that hasn't answered yet in this tenure, or that failed to
// answer the last poll. A new holder has to probe all workers of its pool, and a holder that is
// short of processor time misses many answers at once. If it polled all these workers again
// together, the answers would be late again, each with a new connection, until the leases of
// sound workers had expired. So only some probes are in flight at a time.

// maxProbes is the maximum number of probes in flight. An entry with half a core handles that
// many new connections and answers well within the timeout of a poll.
const maxProbes = 256

// probes are the probes in flight, and the workers that wait to be probed.
type probes struct {
	inFlight map[endive.WorkerID]PollID
	// calls are the calls of all polls that haven't ended.
	calls map[pollCall]bool
	queue []*worker
}

// pollCall is the call of a poll.
type pollCall struct {
	worker endive.WorkerID
	poll   PollID
}

// maxOpenPolls is the number of calls to one worker that may wait for an answer while the calls of the
// whole pool are more than maxOpenCalls. An overdue call goes on, and each takes a connection.
const (
	maxOpenPolls = 3
	maxOpenCalls = 2 * maxProbes
)

// hasTooManyCalls reports whether no further poll may be sent to the worker before a call has ended.
func (m *Machine) hasTooManyCalls(w *worker) bool {
	return len(w.poll.open) >= maxOpenPolls && len(m.probes.calls) >= maxOpenCalls
}

// needsProbe reports whether the next poll of the worker is a probe.
func (w *worker) needsProbe() bool { return !w.answered() || w.failedPolls > 0 }

// admitProbe reports whether a probe of a worker may be sent now. Otherwise the worker is queued.
func (m *Machine) admitProbe(w *worker) bool {
	if len(m.probes.inFlight) < maxProbes {
		m.probes.inFlight[w.id] = PollID(m.stepCount)
		return true
	}
	if !w.poll.queued {
		w.poll.queued = true
		m.probes.queue = append(m.probes.queue, w)
	}
	return false
}

// endProbe ends a probe, and lets the next queued workers be probed.
func (m *Machine) endProbe(id endive.WorkerID, poll PollID) {
	if inFlight, ok := m.probes.inFlight[id]; !ok || inFlight != poll {
		return
	}
	delete(m.probes.inFlight, id)
	free := maxProbes - len(m.probes.inFlight)
	for free > 0 && len(m.probes.queue) > 0 {
		next := m.probes.queue[0]
		m.probes.queue = m.probes.queue[1:]
		next.poll.queued = false
		if m.workers[next.id] == next && !next.poll.inFlight {
			m.markChanged(next)
			free--
		}
	}
}

// surelySilent reports whether a worker with expired leases is taken as silent. While more workers
// don't answer than can be probed, it is this holder that is slow: then the worker must have
// failed to answer a probe that was sent after the leases had expired. What its runs achieved
// would be done again otherwise, before the worker could list it.
func (m *Machine) surelySilent(w *worker, leasesEnd time.Time) bool {
	if len(m.probes.inFlight) < maxProbes {
		return true
	}
	return !w.poll.inFlight && !w.poll.queued && w.poll.sentAt.After(leasesEnd)
}

// idlePollInterval returns the time between two polls of a worker without tasks.
func (m *Machine) idlePollInterval() time.Duration {
	return max(minIdlePollInterval, time.Duration(len(m.workers))*idlePollPerWorker)
}
