package shell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/lease"
	"endiveroute.example/endive/member"
	"endiveroute.example/endive/route"
	"endiveroute.example/endive/ticket"
)

// Keys of the answers that a stop waits for.
const (
	keyDrained    = "stop/drained"
	keyHandedOver = "stop/handedOver"
	keyLeft       = "stop/left"
)

// Leave says to the peers that this entry is leaving. It still takes work.
func (s *Shell) Leave() {
	s.leaving.Store(true)
	s.member.tell(member.Leave{})
}

// Stop ends the entry gracefully: requests in flight are finished, slices are
// handed to successors, and what is on its way to the table service is settled.
// Each step is given up at ctx's deadline. New requests must have ceased.
func (s *Shell) Stop(ctx context.Context) {
	s.stopStep(ctx, "requests in flight", keyDrained, s.route, route.Drain{})
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = s.clock.Now().Add(time.Duration(s.settings.Timings.Stop))
	}
	s.stopStep(ctx, "slices", keyHandedOver, s.lease, lease.HandOver{Deadline: deadline})
	s.stopStep(ctx, "registration", keyLeft, s.ticket, ticket.Unregister{})
	s.waitRecorded(ctx)
	if err := s.storeWork.wait(ctx); err != nil {
		s.log.Warn("stop: writes to the table service are not settled", "error", err.Error())
	}
	s.Close()
}

// waitRecorded waits until each outcome of this entry is recorded: the records
// that fail are tried again.
func (s *Shell) waitRecorded(ctx context.Context) {
	counts := make(chan int, 1)
	for {
		s.keep.ask(func() { counts <- s.keeper.Unrecorded() })
		if <-counts == 0 {
			return
		}
		select {
		case <-ctx.Done():
			s.log.Warn("stop: not finished before the deadline", "what", "outcomes")
			return
		case <-time.After(recordedPause):
		}
	}
}

// recordedPause lies between two looks at the outcomes that aren't recorded.
const recordedPause = 50 * time.Millisecond

// stopStep asks one machine to finish, and waits until it has.
func (s *Shell) stopStep(ctx context.Context, what, key string, r *role, event endive.Event) {
	answers := s.waiters.expect(key)
	r.tell(event)
	if _, err := s.waiters.wait(ctx, key, answers); err != nil {
		s.log.Warn("stop: not finished before the deadline", "what", what)
		return
	}
	s.log.Info("stop: finished", "what", what)
}

// Close ends the sessions and the machines at once.
func (s *Shell) Close() {
	select {
	case <-s.done:
		return
	default:
		close(s.done)
	}
	s.mesh.Close()
	s.system.Shutdown()
}
