package keep

// StoreObject is the action that writes a large body to the object store. Its result
// is ObjectStored.
type StoreObject struct {
	Name string
	Body []byte
}

// IsAction marks StoreObject as an action.
func (StoreObject) IsAction() {}

// ObjectStored is the event with the result of a StoreObject.
type ObjectStored struct {
	Name string
	// Failed is set if the object may not have been stored.
	Failed bool
}

// IsEvent marks ObjectStored as an event.
func (ObjectStored) IsEvent() {}

// FetchObject is the action that reads a large body from the object store. Its result
// is ObjectFetched.
type FetchObject struct {
	Name string
}

// IsAction marks FetchObject as an action.
func (FetchObject) IsAction() {}

// ObjectFetched is the event with the result of a FetchObject.
type ObjectFetched struct {
	Name string
	// Failed is set if the object could not be read.
	Failed bool
	Body   []byte
}

// IsEvent marks ObjectFetched as an event.
func (ObjectFetched) IsEvent() {}
