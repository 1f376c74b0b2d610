package endive

// DecisionKind is the kind of a Decision.
type DecisionKind string

// The kinds of decisions that are logged.
const (
	DecisionRoute      DecisionKind = "route"
	DecisionRetry      DecisionKind = "retry"
	DecisionRefuse     DecisionKind = "refuse"
	DecisionEject      DecisionKind = "eject"
	DecisionReadmit    DecisionKind = "readmit"
	DecisionLend       DecisionKind = "lend"
	DecisionPlace      DecisionKind = "place"
	DecisionPark       DecisionKind = "park"
	DecisionPreempt    DecisionKind = "preempt"
	DecisionQuarantine DecisionKind = "quarantine"
	DecisionLease      DecisionKind = "lease"
	DecisionMember     DecisionKind = "member"
	DecisionTicket     DecisionKind = "ticket"
	DecisionOutcome    DecisionKind = "outcome"
)

// Decision is the action that logs one decision with its reason.
type Decision struct {
	Kind DecisionKind
	// Subject names the request, task, slice or ticket that the decision is about.
	Subject string
	// Choice names the chosen executor, worker, entry or state.
	Choice string
	// Reason briefly explains the choice, with the figures that led to it.
	Reason string
}

// IsAction marks Decision as an action.
func (Decision) IsAction() {}
