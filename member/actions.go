package member

// ListInstances is the action of reading the instance list. It is answered by
// InstancesListed.
type ListInstances struct{}

// IsAction marks ListInstances as an action.
func (ListInstances) IsAction() {}
