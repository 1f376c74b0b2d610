package route

import (
	"time"

	"endiveroute.example/endive"
)

// service is what this entry knows about one service.
type service struct {
	config endive.Service
	queue  queue
	// executors is sorted by id.
	executors []*executor
	// byDigest holds the queued and running executions that identical requests
	// may join.
	byDigest map[Digest]*execution
	times    serviceTimes
	retries  tokenBucket
	// latestAnsweredStart is the latest start time of any answered attempt.
	latestAnsweredStart time.Time
	// heldSlots is the number of slots held by attempts, including ended ones
	// whose slot isn't released yet. meanHold is the mean time that a slot is
	// held, in seconds.
	heldSlots int
	meanHold  float64
	// answerBytes is the mean size of a response.
	answerBytes float64
	// lastDemand is the demand reported to slots last.
	lastDemand endive.SlotDemand
}

// newService returns a service without executors and samples.
func newService(config endive.Service, settings Settings) *service {
	return &service{
		config:   config,
		byDigest: make(map[Digest]*execution),
		retries:  tokenBucket{tokens: settings.RetryBurst, capacity: settings.RetryBurst},
	}
}

// running counts the running attempts in this region and in other regions.
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

// usable counts the usable executors in this region and in other regions.
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

// waitFor returns the expected wait, in seconds, of a request behind the given
// number of others, which share the given number of slots.
func (s *service) waitFor(ahead, slots int) float64 {
	return float64(ahead) * s.meanHold / float64(max(1, slots))
}

// holdSlot counts a slot that an attempt has acquired.
func (s *service) holdSlot() { s.heldSlots++ }

// freeSlot counts the release of a slot that was held for the given time.
func (s *service) freeSlot(held time.Duration) {
	s.heldSlots--
	if s.meanHold == 0 {
		s.meanHold = held.Seconds()
	}
	s.meanHold += meanWeight * (held.Seconds() - s.meanHold)
}

// recordAnswer records the duration of an answered attempt and the size of its
// response.
func (s *service) recordAnswer(duration time.Duration, answer int) {
	s.times.record(duration.Seconds())
	s.answerBytes += meanWeight * (float64(answer) - s.answerBytes)
}
