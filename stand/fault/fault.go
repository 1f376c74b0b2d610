package fault

import "endiveroute.example/endive"

// Fault is a failure injected into the simulated services that match it. An empty
// part, instance or region matches all.
type Fault struct {
	Part     Part            `json:"part,omitempty" toml:"part"`
	Instance string          `json:"instance,omitempty" toml:"instance"`
	Region   endive.Region   `json:"region,omitempty" toml:"region"`
	Kind     Kind            `json:"fault" toml:"fault"`
	Delay    endive.Interval `json:"delay,omitempty" toml:"delay"`
	// Count is the number of requests that the fault affects; 0 means all.
	Count int `json:"count,omitempty" toml:"count"`
}

// Faults is a list of faults.
type Faults []Fault

// Switch turns a fault on or off. Turning off removes the faults with the same
// part, instance, region and kind.
type Switch struct {
	Fault
	On bool `json:"on"`
}

// Validate adds everything wrong with f to findings, below place.
func (f Fault) Validate(findings *endive.Findings, path string) {
	if !f.Kind.valid() {
		findings.Add(path+"fault", "%q is not a known fault; docs/PLATFORM.md lists them", f.Kind)
	}
	if f.Part != "" && !f.Part.valid() {
		findings.Add(path+"part", "%q is not a known part; it must be table, objects, instances, worker or executor", f.Part)
	}
	if f.Kind.needsDelay() && f.Delay <= 0 {
		findings.Add(path+"delay", "is missing; fault %s needs a delay above 0", f.Kind)
	}
	if f.Count < 0 {
		findings.Add(path+"count", "is negative")
	}
}

// matches reports whether the fault has the kind and affects the target. The
// control listener has no valid part, so no fault affects it.
func (f Fault) matches(t Target, kind Kind) bool {
	return f.Kind == kind && t.Part.valid() &&
		(f.Part == "" || f.Part == t.Part) &&
		(f.Instance == "" || f.Instance == t.Instance) &&
		(f.Region == "" || f.Region == t.Region)
}

// sameSelector reports whether f and other have the same kind, part, instance and
// region.
func (f Fault) sameSelector(other Fault) bool {
	return f.Kind == other.Kind && f.Part == other.Part && f.Instance == other.Instance && f.Region == other.Region
}
