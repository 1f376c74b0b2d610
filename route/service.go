package route

import (
	"time"

	"endiveroute.example/endive"
)

// service is what an entry knows of a service and holds for it.
type service struct {
	config endive.Service
	queue  queue
	// executors are in the order of their ids.
	executors []*executor
	// byDigest are the shareable executions that wait or run.
	byDigest map[Digest]*execution
	times    serviceTimes
	retries  tokenBucket
	// latestAnsweredStart is when the latest started of the answered attempts began.
	latestAnsweredStart time.Time
	// heldSlots counts the slots that attempts hold, also after their end, and hold is
	// the learned time that one is heldSlots, in seconds.
	heldSlots int
	meanHold  float64
	// answerBytes is the learned size of an answer.
	answerBytes float64
	// lastDemand is what the slots part was told last.
	lastDemand endive.SlotDemand
}

// newService returns a service that nothing is known of.
func newService(config endive.Service, settings Settings) *service {
	return &service{
		config:   config,
		byDigest: make(map[Digest]*execution),
		retries:  tokenBucket{tokens: settings.RetryBurst, capacity: settings.RetryBurst},
	}
}

// running counts the attempts that go on; far ones, beyond the link, apart.
func (s *service) running() (local, remote int) {
	for _, x := range s.executors {
		if x.distance == endive.OtherRegion {
			remote += x.busy
			continue
		}
		local += x.busy
	}
	return local, remote
}

// usable counts the executors that may get requests; far ones apart.
func (s *service) usable() (local, remote int) {
	for _, x := range s.executors {
		switch {
		case !x.usable():
		case x.distance == endive.OtherRegion:
			remote++
		default:
			local++
		}
	}
	return local, remote
}

// waitFor returns the expected waitFor, in seconds, of a request with ahead others in
// front of it and slots slots to run them.
func (s *service) waitFor(ahead, slots int) float64 {
	return float64(ahead) * s.meanHold / float64(max(1, slots))
}

// holdSlot counts a slot that an attempt takes.
func (s *service) holdSlot() { s.heldSlots++ }

// freeSlot counts a slot that was held for took.
func (s *service) freeSlot(held time.Duration) {
	s.heldSlots--
	if s.meanHold == 0 {
		s.meanHold = held.Seconds()
	}
	s.meanHold += meanWeight * (held.Seconds() - s.meanHold)
}

// recordAnswer takes in an answered attempt.
func (s *service) recordAnswer(duration time.Duration, answer int) {
	s.times.record(duration.Seconds())
	s.answerBytes += meanWeight * (float64(answer) - s.answerBytes)
}
