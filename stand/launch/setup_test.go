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

// shortly is the timeout in cases that wait for it to run out, generously any
// other timeout.
const (
	shortly    = endive.Interval(time.Second)
	generously = endive.Interval(20 * time.Second)
)

// newPlatform starts one executor and one worker.
func newPlatform(t *testing.T) *launch.Platform {
	t.Helper()
	one := cell.ZoneCounts{{Zone: "gogledd-1", Count: 1}}
	c := cell.Cell{
		Region:   "gogledd",
		Zones:    cell.Zones{{Name: "gogledd-1", Region: "gogledd"}},
		Services: cell.Services{{Name: "quote", Slots: 1, Mean: 1, Executors: one}},
		Pools:    cell.Pools{{Name: "planner", Size: endive.Resources{Processors: 4000}, Workers: one}},
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

// newSettings returns bounds on connections that suit tests.
func newSettings() guard.Settings {
	var s guard.Settings
	s.Defaults()
	s.DialTimeout = generously
	return s
}

// switchOn switches a fault of one part on.
func switchOn(p *launch.Platform, part fault.Part, f fault.Fault) {
	if f.Kind == "" {
		return
	}
	f.Part = part
	p.Faults().Switch(fault.Switch{Fault: f, On: true})
}

// newHTTP returns a client of the platform and the workers.
func newHTTP() *rest.Client {
	return rest.NewClient(newSettings(), endive.SystemClock{}, "gogledd", "run1")
}
