package wire

import "endiveroute.example/endive"

// NewResourceCount encodes Resources for a message.
func NewResourceCount(r endive.Resources) *ResourceCount {
	return &ResourceCount{Processors: int64(r.Processors), Memory: int64(r.Memory), Accelerators: int64(r.Accelerators)}
}

// Resources decodes the Resources of a message; zero if the message has none.
func (x *ResourceCount) Resources() endive.Resources {
	return endive.Resources{
		Processors: endive.MilliProcessors(x.GetProcessors()), Memory: endive.Bytes(x.GetMemory()), Accelerators: endive.Accelerators(x.GetAccelerators()),
	}
}
