package member

// ListInstances is the action of reading the instance list. It is answered by Listed.
type ListInstances struct{}

// IsAction marks List as an action.
func (ListInstances) IsAction() {}
