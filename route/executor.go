package route

import (
	"time"

	"endiveroute.example/endive"
)

// executorWeight is the weight of a new attempt in an executor's service time.
const executorWeight = 0.1

// executor is what an entry knows of an executor.
type executor struct {
	id       endive.ExecutorID
	address  endive.Address
	service  endive.ServiceName
	distance endive.Distance
	state    endive.MemberState
	// usableSuspect says that a suspect executor is used all the same, since too many
	// others are out.
	usableSuspect bool
	// leaving says that any source told of the executor's departure.
	leaving bool
	// drained says that a ticket takes the executor out of use.
	drained bool
	health  health
	// busy counts the attempts that go on.
	busy int
	// serviceTime is learned, in seconds; 0 if nothing is known.
	serviceTime float64
	lastReply   time.Time
	// suspectConns says that an attempt found the executor silent and none was answered
	// since. Its open connections may be lost, so new attempts open others.
	suspectConns bool
}

// usable reports whether x may get requests.
func (x *executor) usable() bool {
	return !x.leaving && !x.drained && !x.health.ejected && x.state != endive.MemberGone &&
		(x.state == endive.MemberLive || x.usableSuspect)
}

// belowLimit reports whether x may get one more request now, but for its slots.
func (x *executor) belowLimit() bool {
	return x.health.limit == 0 || x.busy < x.health.limit
}

// recordServiceTime takes in the service time of an answered attempt, in seconds.
func (x *executor) recordServiceTime(duration float64) {
	if x.serviceTime == 0 {
		x.serviceTime = duration
	}
	x.serviceTime += executorWeight * (duration - x.serviceTime)
}
