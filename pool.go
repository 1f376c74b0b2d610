package endive

// Pool is the configuration of a set of workers, as set by tickets.
type Pool struct {
	Name    PoolName `json:"name" toml:"name"`
	Removed bool     `json:"removed,omitempty" toml:"removed"`
	// Preemption allows urgent tasks to stop or checkpoint tasks of lower priority.
	Preemption bool `json:"preemption,omitempty" toml:"preemption"`
	// Parts is the number of slices that the pool's workers of one region are divided
	// into; 0 and 1 both mean a single slice. It can change only while the pool is
	// empty.
	Parts int `json:"parts,omitempty" toml:"parts"`
}

// MaxParts is the maximum number of slices of one pool in one region.
const MaxParts = 64

// Pools are the pools that a ticket sets.
type Pools []Pool

// Validate adds a finding for each invalid field of the pool, prefixed with path.
func (p Pool) Validate(f *Findings, path string) {
	ValidateName(f, path+".name", string(p.Name))
	ValidateRange(f, path+".parts", int64(p.Parts), 0, MaxParts)
}
