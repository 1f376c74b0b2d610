package cell

import "endiveroute.example/endive"

// Pool describes a pool and its workers.
type Pool struct {
	Name endive.PoolName `toml:"name"`
	// Size is the capacity of each worker.
	Size endive.Resources `toml:"size"`
	// PerRack is the number of workers in a rack.
	PerRack int        `toml:"perRack"`
	Workers ZoneCounts `toml:"workers"`
}

// Pools is a list of pools.
type Pools []Pool

func (p Pools) defaults() {
	for i := range p {
		if p[i].PerRack == 0 {
			p[i].PerRack = 1
		}
	}
}

func (p Pools) validate(f *endive.Findings, zones Zones) {
	const path = listPath("pools")
	for i, pool := range p {
		if pool.Name == "" {
			f.Add(path.field(i, "name"), "is missing")
		}
		if pool.Size == (endive.Resources{}) || pool.Size.Negative() {
			f.Add(path.field(i, "size"), "must be above 0 in some dimension and negative in none")
		}
		if pool.PerRack < 1 {
			f.Add(path.field(i, "perRack"), "is %d; it must be at least 1", pool.PerRack)
		}
		pool.Workers.validate(f, listPath(path.field(i, "workers")), zones)
	}
}
