package flow

import (
	"time"

	"endiveroute.example/endive"
)

// maxPollPause is the longest pause before the next poll of a worker that doesn't answer, in multiples of pollRetryDelay.
const maxPollPause = 6

// handlePollFailure schedules the next poll after a failed one, and handles a terminated worker
// and a higher epoch.
func (m *Machine) handlePollFailure(w *worker, e PollResult) {
	reason := string(e.Result)
	if e.Result == OrderAnswered {
		reason = string(e.Answer.Refused)
	}
	switch e.Answer.Refused {
	case endive.RefusalEpoch:
		m.handleFenced("worker " + string(w.id))
		return
	case endive.RefusalIncarnation:
		w.addressReused = true
		m.proveCrashes(EvidenceReplaced, m.now, func(run pendingRun) bool { return run.worker == w.id && run.address == w.info.Address })
	}
	if hasTerminated(e) || m.hasLeft(w, e) {
		m.handleTerminated(w, reason)
		return
	}
	if w.failedPolls == 0 {
		if e.Result != OrderAnswered {
			m.countSilence(w)
		}
		m.logDecision(Decision{Kind: DecisionWorker, Worker: w.id, Outcome: "doesn't answer", Reason: m.describeFailure(w, e, reason)})
	}
	m.recordPollFailure(w, e.Result)
	w.failedPolls++
	w.poll.nextAt = m.now.Add(pollRetryDelay * time.Duration(min(w.failedPolls, maxPollPause)))
	if w.awaitsFence() && w.incarnations > 0 {
		// Until such a poll is answered, late calls to the earlier incarnations count.
		w.poll.nextAt = m.now.Add(pollRetryDelay)
	}
}

// describeFailure returns the reason of a failed poll for the log: how long it took, what failed, and
// how long ago the worker was last heard.
func (m *Machine) describeFailure(w *worker, e PollResult, reason string) string {
	text := reason + " after " + m.now.Sub(w.poll.sentAt).Round(time.Millisecond).String() + ", " + formatInt(int64(len(w.runs))) + " runs on the worker"
	if !w.answeredAt.IsZero() {
		text += ", last answer " + m.now.Sub(w.answeredAt).Round(time.Millisecond).String() + " ago"
	}
	if e.Failure != "" {
		text += "; " + e.Failure
	}
	return text
}
