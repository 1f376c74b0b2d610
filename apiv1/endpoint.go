package apiv1

import "endiveroute.example/endive"

// Endpoint is a worker or executor, with its state as the queried entry knows
// it.
type Endpoint struct {
	endive.Instance
	State   endive.MemberState `json:"state"`
	Drained bool               `json:"drained,omitempty"`
}

// InstanceList is the answer to the call that lists the workers and executors.
type InstanceList struct {
	Instances []Endpoint `json:"instances"`
}

// NewInstanceList returns the JSON form of endpoints. config determines which are drained.
func NewInstanceList(endpoints endive.Endpoints, config endive.Config) InstanceList {
	list := InstanceList{Instances: make([]Endpoint, 0, len(endpoints))}
	for _, e := range endpoints {
		list.Instances = append(list.Instances, Endpoint{Instance: e.Instance, State: e.State, Drained: config.Drained(e.ID)})
	}
	return list
}
