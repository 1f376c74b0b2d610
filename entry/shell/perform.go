package shell

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/intake"
	"endiveroute.example/endive/keep"
	"endiveroute.example/endive/lease"
	"endiveroute.example/endive/member"
	"endiveroute.example/endive/place"
	"endiveroute.example/endive/route"
	"endiveroute.example/endive/ticket"
)

// perform carries out one action of a machine. It must be called in the
// machine's actor and doesn't block.
func (s *Shell) perform(r *role, action endive.Action) {
	switch a := action.(type) {
	case endive.SetWake:
		r.wakeAt(a.At)
	case endive.Send:
		s.send(a)
	case endive.Commit, endive.Fetch, endive.Scan:
		s.storeCall(r, action)
	case endive.Decision:
		s.logDecision(r, a)
	case endive.PublishConfig:
		s.publishConfig(a.Config)
	case endive.PublishMembers:
		s.publishMembers(a.View)
	case endive.PublishLease:
		s.updateLease(a.Lease)
	default:
		s.performMachineAction(r, action)
	}
}

// performMachineAction carries out an action that is specific to one kind of
// machine.
func (s *Shell) performMachineAction(r *role, action endive.Action) {
	switch a := action.(type) {
	case member.ListInstances:
		go (&listCall{shell: s}).run()
	case route.Dispatch:
		s.dispatch(a.Call)
	case route.CancelCall:
		s.cancelCall(a.Attempt)
	case route.ExecutorLeaving:
		s.member.send(member.EndpointLeaving{Endpoint: string(a.Executor)})
	case route.Answer:
		s.handleAnswer(a)
	case route.State:
		s.waiters.deliver(a.Tag, a)
	case route.Drained:
		s.waiters.deliver(keyDrained, a)
	case keep.SendRequest:
		s.routeRecorded(a)
	case keep.Result:
		s.waiters.deliver(waitKey("keep", uint64(a.Tag)), a)
	case keep.StoreObject:
		go (&storeObject{shell: s, store: a}).run()
	case keep.FetchObject:
		go (&fetchObject{shell: s, fetch: a}).run()
	case ticket.ApplyResult:
		s.waiters.deliver(waitKey("ticket", uint64(a.Tag)), a)
	case ticket.ConfigResult:
		s.waiters.deliver(waitKey("ticket", uint64(a.Tag)), a)
	case ticket.Unregistered:
		s.waiters.deliver(keyLeft, a)
	case lease.PublishHolders:
		s.publishHolders(a.Holders)
	case lease.HandedOver:
		s.waiters.deliver(keyHandedOver, a)
	case intake.Answer:
		s.waiters.deliver(waitKey("intake", uint64(a.Tag)), a)
	case place.Command:
		go (&commandCall{shell: s, role: r, command: a}).run()
	case place.Explanation:
		s.waiters.deliver(waitKey("place", uint64(a.Tag)), a)
	case place.Listing:
		s.waiters.deliver(waitKey("place", uint64(a.Tag)), a)
	case place.Released:
		s.lease.send(lease.Released{Slice: a.Slice})
	default:
		s.log.Error("machine returned an action of unknown type", "role", r.name)
	}
}

// send sends a message to a peer. A message to this entry itself, such as the
// notice of a new job for a slice that it holds, is delivered directly.
func (s *Shell) send(a endive.Send) {
	if a.To == s.self.ID {
		s.Deliver(s.self.ID, s.incarnation, a.Message)
		return
	}
	s.mesh.Send(a.To, a.Message)
}

// logDecision logs and counts a decision of a machine.
func (s *Shell) logDecision(r *role, d endive.Decision) {
	s.scope.Tagged(map[string]string{"kind": string(d.Kind)}).Counter("decisions").Inc(1)
	s.log.Info("decision", "role", r.name, "kind", string(d.Kind), "subject", d.Subject, "choice", d.Choice, "reason", d.Reason)
}

// storeCall carries out an action on the table service. It counts the action as
// in flight until its result is known.
func (s *Shell) storeCall(r *role, action endive.Action) {
	s.storeCalls.add(1)
	s.store.Do(action, func(event endive.Event) {
		r.send(event)
		if committed, ok := event.(endive.Committed); ok && committed.Status == endive.CommitUnknown {
			return
		}
		s.storeCalls.add(-1)
	})
}
