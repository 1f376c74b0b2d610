package flow

import (
	"time"

	"endiveroute.example/endive"
)

// goneAfter is how long a worker has to be missing from the list for it to be gone if
// it doesn't answer a new holder. Its entry disappears two heartbeats after the last
// one at the earliest, and leases that an earlier holder renewed meanwhile run out
// before this is over.
const goneAfter = 3 * time.Second

// isGone reports whether a look has shown that a worker's life is over: somebody else
// answers at its address, or the platform doesn't list it any more, and nothing answers
// there, or it never answered this holder and has been missing for long. Missing from
// the list alone is not enough, since a worker that is cut off runs on.
func (m *Machine) isGone(w *worker, e Held) bool {
	if e.Answer.Refused == endive.RefusalIncarnation {
		return true
	}
	if w.listed {
		return false
	}
	if e.Result == OrderRefused {
		return true
	}
	missing := m.listed.missingSince(w.id)
	return !w.adopted && !missing.IsZero() && m.now.Sub(missing) > goneAfter
}

// forgetGone gives up what a worker ran whose life is over.
func (m *Machine) forgetGone(w *worker, reason string) {
	m.loseRuns(w, "its worker is gone")
	m.passDue = true
	if w.listed {
		// Its entry lags. It stays until that disappears, so that it isn't taken for new.
		if !w.adopted || w.failures == 0 {
			m.note(Note{Kind: NoteWorker, Worker: w.id, Outcome: "gone", Reason: "it is still listed, and a look says " + reason})
		}
		w.adopted = true
		w.failures++
		w.hold.again = m.now.Add(idleLook)
		return
	}
	m.note(Note{Kind: NoteWorker, Worker: w.id, Outcome: "gone", Reason: "it isn't listed, and a look says " + reason})
	delete(m.workers, w.id)
	m.sortWorkers()
}
