package fault

import "endiveroute.example/endive"

// Part is a kind of simulated service.
type Part string

// The parts that a fault can select.
const (
	Table     Part = "table"
	Objects   Part = "objects"
	Instances Part = "instances"
	Worker    Part = "worker"
	Executor  Part = "executor"
)

func (p Part) isPlatformService() bool { return p == Table || p == Objects || p == Instances }

// valid reports whether p is one of the parts above.
func (p Part) valid() bool { return p.isPlatformService() || p == Worker || p == Executor }

// Target identifies one simulated service, worker or executor.
type Target struct {
	Part     Part
	Instance string
	Region   endive.Region
}

// Platform reports whether the target is one of the platform's services.
func (t Target) Platform() bool { return t.Part.isPlatformService() }
