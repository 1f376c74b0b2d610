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

// perform carries out one action of a machine. It is called in the machine's
// actor, and doesn't block.
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
		s.performOwn(r, action)
	}
}

// performOwn carries out the actions that only one kind of machine has.
func (s *Shell) performOwn(r *role, action endive.Action) {
	switch a := action.(type) {
	case member.List:
		go (&listCall{shell: s}).run()
	case route.Dispatch:
		s.dispatch(a.Call)
	case route.CancelCall:
		s.cancelCall(a.Attempt)
	case route.LeavingSeen:
		s.member.tell(member.EndpointLeaving{Endpoint: string(a.Executor)})
	case route.Answer:
		s.requestAnswered(a)
	case route.State:
		s.waiters.answer(a.Tag, a)
	case route.Drained:
		s.waiters.answer(keyDrained, a)
	case keep.SendRequest:
		s.proceed(a)
	case keep.Result:
		s.waiters.answer(waitKey("keep", uint64(a.Tag)), a)
	case keep.StoreObject:
		go (&storeObject{shell: s, store: a}).run()
	case keep.FetchObject:
		go (&fetchObject{shell: s, fetch: a}).run()
	case ticket.ApplyResult:
		s.waiters.answer(waitKey("ticket", uint64(a.Tag)), a)
	case ticket.ConfigResult:
		s.waiters.answer(waitKey("ticket", uint64(a.Tag)), a)
	case ticket.Unregistered:
		s.waiters.answer(keyLeft, a)
	case lease.HoldersUpdated:
		s.publishHolders(a.Holders)
	case lease.HandedOver:
		s.waiters.answer(keyHandedOver, a)
	case intake.Answer:
		s.waiters.answer(waitKey("intake", uint64(a.Tag)), a)
	case place.Command:
		go (&commandCall{shell: s, role: r, command: a}).run()
	case place.Explanation:
		s.waiters.answer(waitKey("place", uint64(a.Tag)), a)
	case place.Listing:
		s.waiters.answer(waitKey("place", uint64(a.Tag)), a)
	case place.Released:
		s.lease.tell(lease.Released{Slice: a.Slice})
	default:
		s.log.Error("action of an unknown type", "role", r.name)
	}
}

// send sends a message to a peer. One to this entry itself, such as the notice of
// a job for a slice that is held here, is delivered at once.
func (s *Shell) send(a endive.Send) {
	if a.To == s.self.ID {
		s.Deliver(s.self.ID, s.incarnation, a.Message)
		return
	}
	s.mesh.Send(a.To, a.Message)
}

// logDecision writes the log line of a decision.
func (s *Shell) logDecision(r *role, d endive.Decision) {
	s.scope.Tagged(map[string]string{"kind": string(d.Kind)}).Counter("decisions").Inc(1)
	s.log.Info("decision", "role", r.name, "kind", string(d.Kind), "subject", d.Subject, "choice", d.Choice, "reason", d.Reason)
}

// storeCall carries out an action on the table service, and counts it as under
// way until it is settled.
func (s *Shell) storeCall(r *role, action endive.Action) {
	s.storeWork.add(1)
	s.store.Do(action, func(event endive.Event) {
		r.tell(event)
		if committed, ok := event.(endive.Committed); ok && committed.Status == endive.CommitUnknown {
			return
		}
		s.storeWork.add(-1)
	})
}
