package endive

// Endpoint is a worker or executor with its last known state.
type Endpoint struct {
	Instance
	State MemberState
}

// Endpoints is a list of endpoints, sorted by id.
type Endpoints []Endpoint
