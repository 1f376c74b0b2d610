package route

import (
	"time"

	"endiveroute.example/endive"
)

// executorWeight is the weight of a new sample in an executor's mean service
// time.
const executorWeight = 0.1

// executor is what this entry knows about one executor.
type executor struct {
	id       endive.ExecutorID
	address  endive.Address
	service  endive.ServiceName
	distance endive.Distance
	state    endive.MemberState
	// usableSuspect is set if a suspect executor is used nevertheless, because
	// too many executors of the service are unavailable.
	usableSuspect bool
	// leaving is set once the members list or a response of the executor has
	// announced its departure.
	leaving bool
	// drained is set if a ticket drains the executor.
	drained bool
	health  health
	// busy is the number of running attempts.
	busy int
	// serviceTime is the mean service time in seconds; 0 if there are no
	// samples.
	serviceTime float64
	lastReply   time.Time
	// suspectConns is set when an attempt gets no reply in time and cleared by
	// the next answered attempt. Open connections may be dead, so new attempts
	// use new connections.
	suspectConns bool
}

// usable reports whether the executor may receive requests.
func (x *executor) usable() bool {
	return !x.leaving && !x.drained && !x.health.ejected && x.state != endive.MemberGone &&
		(x.state == endive.MemberLive || x.usableSuspect)
}

// belowLimit reports whether the limit after a readmission allows one more
// attempt.
func (x *executor) belowLimit() bool {
	return x.health.limit == 0 || x.busy < x.health.limit
}

// recordServiceTime records the service time of an answered attempt, in
// seconds.
func (x *executor) recordServiceTime(duration float64) {
	if x.serviceTime == 0 {
		x.serviceTime = duration
	}
	x.serviceTime += executorWeight * (duration - x.serviceTime)
}
