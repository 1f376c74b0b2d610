package endive

import "fmt"

// Units of a worker's capacity and a task's requirements.
type (
	// MilliProcessors counts thousandths of a processor.
	MilliProcessors int64
	// Bytes counts bytes of memory or of a message.
	Bytes int64
	// Accelerators counts whole accelerators.
	Accelerators int64
)

// Multiples of Bytes.
const (
	KiB Bytes = 1 << (10 * (iota + 1))
	MiB
	GiB
)

// Resources is the capacity of a worker or the requirement of a task.
type Resources struct {
	Processors   MilliProcessors `json:"processors" toml:"processors"`
	Memory       Bytes           `json:"memory" toml:"memory"`
	Accelerators Accelerators    `json:"accelerators" toml:"accelerators"`
}

// Fits reports whether a requirement is at most the free capacity in each dimension.
func (r Resources) Fits(free Resources) bool {
	return r.Processors <= free.Processors && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// WithinQuota reports whether the Resources are at most a quota. A quota dimension of 0 is
// unlimited.
func (r Resources) WithinQuota(quota Resources) bool { return r.limitedBy(quota).Fits(quota) }

// limitedBy returns the amounts in the dimensions that a quota limits, and 0 in the others.
func (r Resources) limitedBy(quota Resources) Resources {
	if quota.Processors == 0 {
		r.Processors = 0
	}
	if quota.Memory == 0 {
		r.Memory = 0
	}
	if quota.Accelerators == 0 {
		r.Accelerators = 0
	}
	return r
}

// FitCount returns how many tasks with a need fit into the free capacity, from 0 to limit.
func (r Resources) FitCount(need Resources, limit int) int {
	count := int64(limit)
	if need.Processors > 0 {
		count = min(count, int64(r.Processors/need.Processors))
	}
	if need.Memory > 0 {
		count = min(count, int64(r.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		count = min(count, int64(r.Accelerators/need.Accelerators))
	}
	return int(max(0, count))
}

// Add returns the sum of two Resources in each dimension.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns the difference in each dimension. It is negative where the subtracted
// amount is larger.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Times returns the Resources of the given number of equal tasks.
func (r Resources) Times(n int64) Resources {
	return Resources{r.Processors * MilliProcessors(n), r.Memory * Bytes(n), r.Accelerators * Accelerators(n)}
}

// Scale returns the Resources multiplied by a factor, rounded down.
func (r Resources) Scale(factor float64) Resources {
	return Resources{
		MilliProcessors(factor * float64(r.Processors)), Bytes(factor * float64(r.Memory)), Accelerators(factor * float64(r.Accelerators)),
	}
}

// Max returns the larger amount in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.Processors, o.Processors), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators)}
}

// Min returns the smaller amount in each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.Processors, o.Processors), min(r.Memory, o.Memory), min(r.Accelerators, o.Accelerators)}
}

// Negative reports whether any dimension is below zero.
func (r Resources) Negative() bool {
	return r.Processors < 0 || r.Memory < 0 || r.Accelerators < 0
}

// String formats all dimensions for display.
func (r Resources) String() string {
	return fmt.Sprintf("%.1f processors, %.1f GiB, %d accelerators",
		float64(r.Processors)/1000, float64(r.Memory)/float64(GiB), r.Accelerators)
}

// validate adds a finding for each negative dimension, prefixed with path.
func (r Resources) validate(f *Findings, path string) {
	if r.Processors < 0 {
		f.Add(path+".processors", "is negative")
	}
	if r.Memory < 0 {
		f.Add(path+".memory", "is negative")
	}
	if r.Accelerators < 0 {
		f.Add(path+".accelerators", "is negative")
	}
}
