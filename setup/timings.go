package setup

import (
	"time"

	"endiveroute.example/endive"
)

// Timings holds the periods, timeouts and lease durations of an entry.
type Timings struct {
	// Heartbeat is the period at which the entry sends heartbeats to its peers.
	Heartbeat endive.Interval `toml:"heartbeat" json:"heartbeat"`
	// ConfigPoll is the period at which the entry reads new tickets from the table.
	ConfigPoll endive.Interval `toml:"configPoll" json:"configPoll"`
	// InstancePoll is the period at which the entry reads the instance list.
	InstancePoll endive.Interval `toml:"instancePoll" json:"instancePoll"`
	// TableTimeout is the timeout of one call to the table service.
	TableTimeout endive.Interval `toml:"tableTimeout" json:"tableTimeout"`
	// WorkerTimeout is the timeout of one command to a worker.
	WorkerTimeout endive.Interval `toml:"workerTimeout" json:"workerTimeout"`
	// SliceLease is how long the lease of a slice lasts after a renewal.
	SliceLease endive.Interval `toml:"sliceLease" json:"sliceLease"`
	// TaskLease is how long a task keeps running after the last renewal of its lease.
	TaskLease endive.Interval `toml:"taskLease" json:"taskLease"`
	// Stop is the maximum duration of a graceful stop.
	Stop endive.Interval `toml:"stop" json:"stop"`
}

// Defaults of Timings.
const (
	DefaultHeartbeat     = endive.Interval(500 * time.Millisecond)
	DefaultConfigPoll    = endive.Interval(1 * time.Second)
	DefaultInstancePoll  = endive.Interval(1 * time.Second)
	DefaultTableTimeout  = endive.Interval(2 * time.Second)
	DefaultWorkerTimeout = endive.Interval(2 * time.Second)
	DefaultSliceLease    = endive.Interval(10 * time.Second)
	DefaultTaskLease     = endive.Interval(15 * time.Second)
	DefaultStop          = endive.Interval(30 * time.Second)
)

// Range of all Timings, and the minimum ratio of a lease to the timeout or period of its
// renewals.
const (
	MinTiming        = endive.Interval(10 * time.Millisecond)
	MaxTiming        = endive.Interval(10 * time.Minute)
	RenewalsPerLease = 3
)

// timingField is a field of Timings with the field's path and default.
type timingField struct {
	path         string
	value        *endive.Interval
	defaultValue endive.Interval
}

// fields returns all timings with their paths and defaults.
func (t *Timings) fields() []timingField {
	return []timingField{
		{"timings.heartbeat", &t.Heartbeat, DefaultHeartbeat},
		{"timings.configPoll", &t.ConfigPoll, DefaultConfigPoll},
		{"timings.instancePoll", &t.InstancePoll, DefaultInstancePoll},
		{"timings.tableTimeout", &t.TableTimeout, DefaultTableTimeout},
		{"timings.workerTimeout", &t.WorkerTimeout, DefaultWorkerTimeout},
		{"timings.sliceLease", &t.SliceLease, DefaultSliceLease},
		{"timings.taskLease", &t.TaskLease, DefaultTaskLease},
		{"timings.stop", &t.Stop, DefaultStop},
	}
}

// Defaults sets the fields that are 0 to their defaults.
func (t *Timings) Defaults() {
	for _, one := range t.fields() {
		one.value.Default(one.defaultValue)
	}
}

// validate adds a finding for each timing that is out of range, and for leases
// that are too short for repeating a failed renewal.
func (t Timings) validate(f *endive.Findings) {
	for _, one := range t.fields() {
		if *one.value < MinTiming || *one.value > MaxTiming {
			f.Add(one.path, "is %s; it must be %s to %s", *one.value, MinTiming, MaxTiming)
		}
	}
	if t.SliceLease < RenewalsPerLease*t.TableTimeout {
		f.Add("timings.sliceLease", "is %s; it must be at least %d times tableTimeout (%s), so that a lost renewal can be repeated",
			t.SliceLease, RenewalsPerLease, t.TableTimeout)
	}
	if t.TaskLease < RenewalsPerLease*t.WorkerTimeout {
		f.Add("timings.taskLease", "is %s; it must be at least %d times workerTimeout (%s), so that a lost renewal can be repeated",
			t.TaskLease, RenewalsPerLease, t.WorkerTimeout)
	}
}
