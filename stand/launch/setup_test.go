package launch_test

import (
	"testing"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/guard"
	"endiveroute.example/endive/rest"
	"endiveroute.example/endive/stand/cell"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/stand/launch"
)

// Test cases that wait until a timeout expires use shortTimeout, all others use
// longTimeout.
const (
	shortTimeout = endive.Interval(time.Second)
	longTimeout  = endive.Interval(20 * time.Second)
)

// startPlatform starts the platform services with one executor and one worker.
func startPlatform(t *testing.T) *launch.Platform {
	t.Helper()
	oneInstance := cell.ZoneCounts{{Zone: "gogledd-1", Count: 1}}
	c := cell.Cell{
		Region:   "gogledd",
		Zones:    cell.Zones{{Name: "gogledd-1", Region: "gogledd"}},
		Services: cell.Services{{Name: "quote", Slots: 1, Mean: 1, Executors: oneInstance}},
		Pools:    cell.Pools{{Name: "planner", Size: endive.Resources{Processors: 4000}, Workers: oneInstance}},
	}
	c.Defaults()
	if err := c.Validate().Err(); err != nil {
		t.Fatal(err)
	}
	var a launch.Addresses
	a.Defaults()
	p, err := launch.New(c, a, endive.SystemClock{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close(time.Now()) })
	return p
}

// connectionSettings returns the default connection settings with longTimeout as
// the dial timeout.
func connectionSettings() guard.Settings {
	var s guard.Settings
	s.Defaults()
	s.DialTimeout = longTimeout
	return s
}

// enableFault switches on a fault of one part.
func enableFault(p *launch.Platform, part fault.Part, f fault.Fault) {
	if f.Kind == "" {
		return
	}
	f.Part = part
	p.Faults().Switch(fault.Switch{Fault: f, On: true})
}

// newRESTClient returns an HTTP client for the platform services and the workers.
func newRESTClient() *rest.Client {
	return rest.NewClient(connectionSettings(), endive.SystemClock{}, "gogledd", "run1")
}
