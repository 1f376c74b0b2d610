package apiv1

import "endiveroute.example/endive"

// Worker is a worker as the holder of its slice sees it.
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
	// QuarantineReason says why the worker gets no tasks; empty if it does.
	QuarantineReason string `json:"quarantined,omitempty"`
}

// WorkerList lists workers.
type WorkerList struct {
	Workers []Worker `json:"workers"`
}
