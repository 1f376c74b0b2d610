package endive

// InstanceKind is the kind of process that runs on an instance.
type InstanceKind string

// The kinds of instances.
const (
	KindEntry    InstanceKind = "entry"
	KindWorker   InstanceKind = "worker"
	KindExecutor InstanceKind = "executor"
)

// Instance is one item of the platform's instance list. The list may be out of date.
type Instance struct {
	ID      string       `json:"id"`
	Kind    InstanceKind `json:"kind"`
	Address Address      `json:"address"`
	Region  Region       `json:"region"`
	Zone    Zone         `json:"zone"`
	Rack    Rack         `json:"rack,omitempty"`
	// Leaving is true if the platform is about to stop the instance.
	Leaving bool `json:"leaving,omitempty"`
	// Service is the service that an executor runs.
	Service ServiceName `json:"service,omitempty"`
	// Pool is the pool that a worker belongs to.
	Pool PoolName `json:"pool,omitempty"`
	// Size is the capacity of a worker.
	Size Resources `json:"size"`
}
