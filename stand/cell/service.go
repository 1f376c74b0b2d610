package cell

import (
	"time"

	"endiveroute.example/endive"
)

// defaultServiceTime is the default mean service time of an executor.
const defaultServiceTime = endive.Interval(20 * time.Millisecond)

// Service describes a service and its executors.
type Service struct {
	Name endive.ServiceName `toml:"name"`
	// Slots and Connections are the slots and the connection limit of each executor.
	Slots       int `toml:"slots"`
	Connections int `toml:"connections"`
	// Mean is the mean of the randomly drawn service times.
	Mean      endive.Interval `toml:"mean"`
	Executors ZoneCounts      `toml:"executors"`
}

// Services is a list of services.
type Services []Service

func (s Services) defaults() {
	for i := range s {
		if s[i].Slots == 0 {
			s[i].Slots = endive.DefaultSlots
		}
		if s[i].Connections == 0 {
			s[i].Connections = endive.DefaultConnections
		}
		if s[i].Mean == 0 {
			s[i].Mean = defaultServiceTime
		}
	}
}

func (s Services) validate(f *endive.Findings, zones Zones) {
	const path = listPath("services")
	for i, service := range s {
		if service.Name == "" {
			f.Add(path.field(i, "name"), "is missing")
		}
		if service.Slots < 1 {
			f.Add(path.field(i, "slots"), "is %d; it must be at least 1", service.Slots)
		}
		if service.Connections < service.Slots {
			f.Add(path.field(i, "connections"), "is %d, below the %d slots", service.Connections, service.Slots)
		}
		if service.Mean < 0 {
			f.Add(path.field(i, "mean"), "is negative")
		}
		service.Executors.validate(f, listPath(path.field(i, "executors")), zones)
	}
}
