package flow

import (
	"time"

	"endiveroute.example/endive"
)

// clockRounding is by how much two readings of a clock may differ from the time between them, in milliseconds.
const clockRounding endive.WorkerTime = 2

// clockReading relates a worker's clock to the local one: the worker's clock showed
// workerTime when it answered a call that was sent at requestedAt, and the answer arrived at receivedAt.
type clockReading struct {
	workerTime  endive.WorkerTime
	requestedAt time.Time
	receivedAt  time.Time
}

// estimate returns the worker's time at now, on the assumption that its clock isn't slow. If the
// reading is old, it returns the earliest time that the clock can show, so that the error stays
// within clockErrorMargin.
func (c clockReading) estimate(now time.Time) endive.WorkerTime {
	age := now.Sub(c.receivedAt)
	if age > minIdlePollInterval {
		age = minIdlePollInterval + time.Duration(minClockRate*float64(age-minIdlePollInterval))
	}
	return c.workerTime + endive.WorkerTime(age.Milliseconds())
}

// reachedBy returns the local time at which the worker's clock has surely reached the given
// time.
func (c clockReading) reachedBy(t endive.WorkerTime) time.Time {
	return c.receivedAt.Add(longestDuration(time.Duration(t-c.workerTime) * time.Millisecond))
}

// mayShow reports whether a clock with this reading may show a time when it answers a call that was sent at sentAt and
// answered by now.
func (c clockReading) mayShow(clock endive.WorkerTime, sentAt, now time.Time) bool {
	least := endive.WorkerTime(minClockRate * float64(max(0, sentAt.Sub(c.receivedAt)).Milliseconds()))
	most := endive.WorkerTime(now.Sub(c.requestedAt).Milliseconds())
	return clock >= c.workerTime+least-clockRounding && clock <= c.workerTime+most+clockRounding
}
