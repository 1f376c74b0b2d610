package cell

import (
	"fmt"

	"endiveroute.example/endive"
)

// Instances returns the entries, executors and workers of c. Executors and workers
// are numbered, and have no address until they are started.
func (c Cell) Instances() []endive.Instance {
	var list []endive.Instance
	for _, e := range c.Entries {
		region, _ := c.Zones.regionOf(e.Zone)
		list = append(list, endive.Instance{
			ID: string(e.ID), Kind: endive.KindEntry, Address: e.Address, Region: region, Zone: e.Zone,
		})
	}
	for _, s := range c.Services {
		n := 0
		for _, zoneCount := range s.Executors {
			region, _ := c.Zones.regionOf(zoneCount.Zone)
			for range zoneCount.Count {
				n++
				list = append(list, endive.Instance{
					ID: fmt.Sprintf("%s-%d", s.Name, n), Kind: endive.KindExecutor,
					Region: region, Zone: zoneCount.Zone, Service: s.Name,
				})
			}
		}
	}
	for _, p := range c.Pools {
		list = append(list, c.workers(p)...)
	}
	return list
}

// workers returns the workers of a pool. Within a zone, each rack is filled with
// PerRack workers before the next one.
func (c Cell) workers(p Pool) []endive.Instance {
	var list []endive.Instance
	for _, zoneCount := range p.Workers {
		region, _ := c.Zones.regionOf(zoneCount.Zone)
		for i := range zoneCount.Count {
			list = append(list, endive.Instance{
				ID:     fmt.Sprintf("%s-%d", p.Name, len(list)+1),
				Kind:   endive.KindWorker,
				Region: region,
				Zone:   zoneCount.Zone,
				Rack:   endive.Rack(fmt.Sprintf("%s-%s-%d", p.Name, zoneCount.Zone, i/p.PerRack+1)),
				Pool:   p.Name,
				Size:   p.Size,
			})
		}
	}
	return list
}

// Service returns the named service, or the zero value if there is none.
func (c Cell) Service(name endive.ServiceName) Service {
	for _, s := range c.Services {
		if s.Name == name {
			return s
		}
	}
	return Service{}
}
