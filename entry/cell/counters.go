package cell

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
	"endiveroute.example/endive/entry/gauge"
	"endiveroute.example/endive/flow"
)

// Counters are the cell's metrics. They are safe for concurrent use.
type Counters struct {
	scope         tally.Scope
	stepCount     tally.Counter
	stepTime      tally.Counter
	submitLatency tally.Histogram
	// page has the metrics that scope can't have, since they disappear again.
	page *gauge.Page
}

// latencyBuckets are the bucket bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
}

// NewCounters registers the metrics in a scope of a page.
func NewCounters(page *gauge.Page, scope tally.Scope) *Counters {
	return &Counters{
		page: page, scope: scope, stepCount: scope.Counter("machineSteps"), stepTime: scope.Counter("machineMicroseconds"),
		submitLatency: scope.Histogram("submitSeconds", latencyBuckets),
	}
}

func (c *Counters) recordStep(duration time.Duration) {
	c.stepCount.Inc(1)
	c.stepTime.Inc(duration.Microseconds())
}

func (c *Counters) recordDecision(decision flow.Decision) {
	c.scope.Tagged(map[string]string{"kind": string(decision.Kind), "outcome": decision.Outcome}).Counter("decisions").Inc(1)
	switch decision.Kind {
	case flow.DecisionJob:
		c.recordVerdict(decision)
	case flow.DecisionEnd:
		c.recordLoss(decision)
	}
}

// recordVerdict counts an end of a workflow by the kind of evidence.
func (c *Counters) recordVerdict(decision flow.Decision) {
	if endive.WorkflowState(decision.Outcome).Ended() {
		c.scope.Tagged(map[string]string{"outcome": decision.Outcome, "evidence": string(decision.Evidence)}).Counter("verdicts").Inc(1)
	}
}

// recordLoss counts a run that is given up, or a decision about a crash of a worker under a task.
func (c *Counters) recordLoss(decision flow.Decision) {
	state := ""
	switch decision.Outcome {
	case flow.OutcomeLost:
		c.scope.Tagged(map[string]string{"evidence": string(decision.Evidence)}).Counter("lostRuns").Inc(1)
		return
	case flow.OutcomeSuspect, flow.OutcomeLateCrash:
		state = "unproven"
		if decision.Evidence.Proof() {
			state = "proven"
		}
	case flow.OutcomeCrashProven:
		state = "proven"
	case flow.OutcomeNotCrashed:
		state = "takenBack"
	default:
		return
	}
	c.scope.Tagged(map[string]string{"state": state, "evidence": string(decision.Evidence)}).Counter("crashes").Inc(1)
}

func (c *Counters) recordSubmission(status endive.SubmitStatus, latency time.Duration) {
	c.scope.Tagged(map[string]string{"outcome": string(status)}).Counter("submissions").Inc(1)
	c.submitLatency.RecordDuration(latency)
}

// RecordCall counts a call to the platform or to a worker by name and HTTP status. Status
// 0 means that the call got no answer.
func (c *Counters) RecordCall(name string, status int, duration time.Duration) {
	scope := c.scope.Tagged(map[string]string{"call": name, "status": strconv.Itoa(status)})
	scope.Counter("calls").Inc(1)
	scope.Histogram("callSeconds", latencyBuckets).RecordDuration(duration)
}

// RecordBytes counts the bytes of a call to the platform or to a worker by name.
func (c *Counters) RecordBytes(name string, sent, received endive.Bytes) {
	scope := c.scope.Tagged(map[string]string{"call": name})
	scope.Counter("callBytesSent").Inc(int64(sent))
	scope.Counter("callBytesReceived").Inc(int64(received))
}

// Sent implements peer.Meter.
func (c *Counters) Sent(_ endive.Peer, kind string, size endive.Bytes) {
	scope := c.scope.Tagged(map[string]string{"message": kind})
	scope.Counter("peerMessages").Inc(1)
	scope.Counter("peerBytes").Inc(int64(size))
}
