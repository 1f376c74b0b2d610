package apiv1

import "endiveroute.example/endive"

// Worker is the state of a worker. Only the holder of its slice reports the committed
// resources, the tasks and the quarantine reason.
type Worker struct {
	ID        endive.WorkerID    `json:"id"`
	Slice     endive.SliceID     `json:"slice"`
	Pool      endive.PoolName    `json:"pool"`
	Region    endive.Region      `json:"region"`
	Zone      endive.Zone        `json:"zone"`
	Rack      endive.Rack        `json:"rack,omitempty"`
	State     endive.MemberState `json:"state"`
	Size      endive.Resources   `json:"size"`
	Committed endive.Resources   `json:"committed"`
	Tasks     int                `json:"tasks"`
	// QuarantineReason is the reason why the worker gets no new tasks; empty if it gets
	// tasks.
	QuarantineReason string `json:"quarantined,omitempty"`
}

// WorkerList is the answer to the call that lists workers.
type WorkerList struct {
	Workers []Worker `json:"workers"`
}
