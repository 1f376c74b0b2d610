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

// Keys of the machines' answers to the steps of Stop.
const (
	keyDrained    = "stop/drained"
	keyHandedOver = "stop/handedOver"
	keyLeft       = "stop/left"
)

// Leave announces to the peers that this entry is about to stop. The entry still
// accepts work.
func (s *Shell) Leave() {
	s.leaving.Store(true)
	s.member.send(member.Leave{})
}

// Stop ends the entry gracefully: it finishes the requests in flight, hands the
// slices over to other entries, and waits until the result of each operation on
// the table service is known. Each step is abandoned at ctx's deadline. The
// caller must not send new requests.
func (s *Shell) Stop(ctx context.Context) {
	s.stopStep(ctx, "requests in flight", keyDrained, s.route, route.Drain{})
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = s.clock.Now().Add(time.Duration(s.settings.Timings.Stop))
	}
	s.stopStep(ctx, "slices", keyHandedOver, s.lease, lease.HandOver{Deadline: deadline})
	s.stopStep(ctx, "registration", keyLeft, s.ticket, ticket.Unregister{})
	s.waitOutcomesRecorded(ctx)
	if err := s.storeCalls.wait(ctx); err != nil {
		s.log.Warn("stop: some writes to the table service have no known result", "error", err.Error())
	}
	s.Close()
}

// waitOutcomesRecorded waits until every outcome of this entry is recorded.
// Failed writes are retried meanwhile.
func (s *Shell) waitOutcomesRecorded(ctx context.Context) {
	counts := make(chan int, 1)
	for {
		s.keep.inspect(func() { counts <- s.keeper.Unrecorded() })
		if <-counts == 0 {
			return
		}
		select {
		case <-ctx.Done():
			s.log.Warn("stop: not finished before the deadline", "what", "outcomes")
			return
		case <-time.After(outcomePollInterval):
		}
	}
}

// outcomePollInterval is the time between two reads of the number of unrecorded
// outcomes.
const outcomePollInterval = 50 * time.Millisecond

// stopStep sends the event of one step of a stop to a machine and waits until the
// machine's answer arrives under the key.
func (s *Shell) stopStep(ctx context.Context, name, key string, r *role, event endive.Event) {
	answers := s.waiters.register(key)
	r.send(event)
	if _, err := s.waiters.wait(ctx, key, answers); err != nil {
		s.log.Warn("stop: not finished before the deadline", "what", name)
		return
	}
	s.log.Info("stop: finished", "what", name)
}

// Close closes the connections to peers and ends the machines immediately.
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
