package setup

import (
	"fmt"
	"os"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/files"
	"endiveroute.example/endive/strict"
)

// CellSettings are the settings of an entry that runs workflows on an external platform.
type CellSettings struct {
	// Name is the entry's id.
	Name   endive.EntryID `toml:"name" json:"name"`
	Region endive.Region  `toml:"region" json:"region"`
	Zone   endive.Zone    `toml:"zone" json:"zone"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string       `toml:"logLevel" json:"logLevel"`
	Listen   CellListen   `toml:"listen" json:"listen"`
	Platform CellPlatform `toml:"platform" json:"platform"`
	Bounds   CellBounds   `toml:"bounds" json:"bounds"`
	Limits   CellLimits   `toml:"limits" json:"limits"`
	Timings  CellTimings  `toml:"timings" json:"timings"`
}

// CellLimits are the resource limits of the entry's process.
type CellLimits struct {
	// Cores is how many processor cores the entry may use. Entries with more cores are
	// preferred as holders of pools.
	Cores float64 `toml:"cores" json:"cores"`
	// Descriptors is how many files and sockets the entry may have open; 0 means no limit.
	Descriptors int `toml:"descriptors" json:"descriptors"`
}

// CellListen holds the addresses that the entry listens on.
type CellListen struct {
	// Callers is for clients that submit jobs or read their state.
	Callers endive.Address `toml:"callers" json:"callers"`
	// Health is for the load balancer's health checks.
	Health endive.Address `toml:"health" json:"health"`
	// Peers is for connections from the other entries.
	Peers endive.Address `toml:"peers" json:"peers"`
	// Metrics is for scraping counters and latency histograms.
	Metrics endive.Address `toml:"metrics" json:"metrics"`
}

// CellPlatform holds the addresses of the platform's services.
type CellPlatform struct {
	Store  endive.Address `toml:"store" json:"store"`
	Advice endive.Address `toml:"advice" json:"advice"`
	Cloud  endive.Address `toml:"cloud" json:"cloud"`
}

// CellBounds are time limits that the platform and its workers set.
type CellBounds struct {
	// MaxGrant is the longest lease that a worker accepts.
	MaxGrant endive.Interval `toml:"maxGrant" json:"maxGrant"`
	// StopGrace is the time between the stop signal and the forced end of the process.
	StopGrace endive.Interval `toml:"stopGrace" json:"stopGrace"`
	// Retention is how long clients can read the state of a workflow after its end.
	Retention endive.Interval `toml:"retention" json:"retention"`
	// StrictKeys refuses calls with a key once the configuration hasn't been confirmed for
	// MaxKeyAge, since the key may have been withdrawn.
	StrictKeys bool            `toml:"strictKeys" json:"strictKeys"`
	MaxKeyAge  endive.Interval `toml:"maxKeyAge" json:"maxKeyAge"`
	// QuotaOverage is the share of an account's cap by which a task or gang that is larger than
	// the cap may exceed it.
	QuotaOverage float64 `toml:"quotaOverage" json:"quotaOverage"`
	// MaxListAge is how old the list of workers may be when a task starts, since workers may have
	// shrunk meanwhile.
	MaxListAge endive.Interval `toml:"maxListAge" json:"maxListAge"`
	// Heartbeat is the period in which workers renew their registrations.
	Heartbeat endive.Interval `toml:"heartbeat" json:"heartbeat"`
}

// CellTimings are the entry's own leases, periods and timeouts.
type CellTimings struct {
	// PoolLease is how long the lease of a pool lasts after a renewal.
	PoolLease endive.Interval `toml:"poolLease" json:"poolLease"`
	// Poll is the period at which the entry reads the leases and the list of workers.
	Poll endive.Interval `toml:"poll" json:"poll"`
	// StoreTimeout is the timeout of one call to the store.
	StoreTimeout endive.Interval `toml:"storeTimeout" json:"storeTimeout"`
}

// Defaults of CellSettings.
const (
	DefaultPoolLease    = endive.Interval(2200 * time.Millisecond)
	DefaultPoll         = endive.Interval(400 * time.Millisecond)
	DefaultStoreTimeout = endive.Interval(800 * time.Millisecond)
	DefaultMaxGrant     = endive.Interval(6 * time.Second)
	DefaultStopGrace    = endive.Interval(6 * time.Second)
	DefaultRetention    = endive.Interval(2 * time.Minute)
	DefaultMaxKeyAge    = endive.Interval(5 * time.Second)
	DefaultMaxListAge   = endive.Interval(4 * time.Second)
	DefaultWorkerBeat   = endive.Interval(1500 * time.Millisecond)
)

// OrderTransit is the part of CellBounds.MaxListAge that is kept for the transit of an order to a
// worker.
const OrderTransit = endive.Interval(500 * time.Millisecond)

// LoadCell reads the settings from a TOML file of any name, sets the defaults and
// validates the settings. If they are invalid, the error wraps a *files.Error with all
// findings.
func LoadCell(path string) (CellSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return CellSettings{}, fmt.Errorf("LoadCell: %w", err)
	}
	var c CellSettings
	result := strict.TOML(data, &c)
	c.Defaults()
	return c, files.Check(path, result, c.Validate())
}

// Defaults sets the fields that are empty to their defaults.
func (c *CellSettings) Defaults() {
	if c.LogLevel == "" {
		c.LogLevel = DefaultLogLevel
	}
	c.Bounds.MaxGrant.Default(DefaultMaxGrant)
	c.Bounds.StopGrace.Default(DefaultStopGrace)
	c.Bounds.Retention.Default(DefaultRetention)
	c.Bounds.MaxKeyAge.Default(DefaultMaxKeyAge)
	c.Bounds.MaxListAge.Default(DefaultMaxListAge)
	c.Bounds.Heartbeat.Default(DefaultWorkerBeat)
	c.Timings.PoolLease.Default(DefaultPoolLease)
	c.Timings.Poll.Default(DefaultPoll)
	c.Timings.StoreTimeout.Default(DefaultStoreTimeout)
}

// Validate returns a finding for each invalid setting.
func (c CellSettings) Validate() endive.Findings {
	var f endive.Findings
	endive.ValidateName(&f, "name", string(c.Name))
	endive.ValidateName(&f, "region", string(c.Region))
	endive.ValidateName(&f, "zone", string(c.Zone))
	validateLogLevel(&f, c.LogLevel)
	validateAddress(&f, "listen.callers", c.Listen.Callers)
	validateAddress(&f, "listen.health", c.Listen.Health)
	validateAddress(&f, "listen.peers", c.Listen.Peers)
	validateAddress(&f, "listen.metrics", c.Listen.Metrics)
	validateDialAddress(&f, "platform.store", c.Platform.Store)
	if c.Platform.Advice != "" {
		validateDialAddress(&f, "platform.advice", c.Platform.Advice)
	}
	if c.Platform.Cloud != "" {
		validateDialAddress(&f, "platform.cloud", c.Platform.Cloud)
	}
	for _, one := range []struct {
		path  string
		value endive.Interval
	}{
		{"bounds.maxGrant", c.Bounds.MaxGrant}, {"bounds.stopGrace", c.Bounds.StopGrace},
		{"bounds.retention", c.Bounds.Retention}, {"bounds.maxKeyAge", c.Bounds.MaxKeyAge},
		{"bounds.maxListAge", c.Bounds.MaxListAge}, {"bounds.heartbeat", c.Bounds.Heartbeat},
		{"timings.poolLease", c.Timings.PoolLease}, {"timings.poll", c.Timings.Poll},
		{"timings.storeTimeout", c.Timings.StoreTimeout},
	} {
		if one.value < MinTiming || one.value > MaxTiming {
			f.Add(one.path, "is %s; it must be from %s to %s", one.value, MinTiming, MaxTiming)
		}
	}
	if c.Bounds.QuotaOverage < 0 {
		f.Add("bounds.quotaOverage", "is %g; it must not be negative", c.Bounds.QuotaOverage)
	}
	if c.Limits.Descriptors < 0 {
		f.Add("limits.descriptors", "is %d; it must not be negative", c.Limits.Descriptors)
	}
	if c.Limits.Cores < 0 {
		f.Add("limits.cores", "is %g; it must not be negative", c.Limits.Cores)
	}
	if c.Timings.PoolLease < RenewalsPerLease*c.Timings.Poll {
		f.Add("timings.poolLease", "is %s; it must be at least %d times timings.poll", c.Timings.PoolLease, RenewalsPerLease)
	}
	if shortest := OrderTransit + c.Timings.Poll + c.Timings.StoreTimeout; c.Bounds.MaxListAge <= shortest {
		f.Add("bounds.maxListAge", "is %s; it must be longer than timings.poll, timings.storeTimeout and %s together", c.Bounds.MaxListAge, OrderTransit)
	}
	return f
}

// String returns the entry's name and location in one line.
func (c CellSettings) String() string {
	return fmt.Sprintf("entry %s in zone %s of region %s, store %s", c.Name, c.Zone, c.Region, c.Platform.Store)
}
