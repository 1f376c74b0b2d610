package cell

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
	"endiveroute.example/endive/entry/gauge"
	"endiveroute.example/endive/setup"
)

// scriptedDirectory answers each call for the configuration with the next response, after
// configPollWait. After the last one it closes done and doesn't answer.
type scriptedDirectory struct {
	endive.Directory
	clock     *steppedClock
	responses []endive.ConfigResponse
	done      chan struct{}
}

func (d *scriptedDirectory) Config(ctx context.Context, _ endive.Revision, _ endive.Interval) (endive.ConfigResponse, error) {
	if len(d.responses) == 0 {
		close(d.done)
		<-ctx.Done()
		return endive.ConfigResponse{}, ctx.Err()
	}
	d.clock.millis.Add(time.Duration(configPollWait).Milliseconds())
	response := d.responses[0]
	d.responses = d.responses[1:]
	return response, nil
}

// steppedClock is a clock, and a platform's clock that shows the same time in milliseconds.
type steppedClock struct{ millis atomic.Int64 }

func (c *steppedClock) Now() time.Time { return time.UnixMilli(c.millis.Load()) }
func (c *steppedClock) Known() bool    { return true }
func (c *steppedClock) AtLeast(at time.Time) endive.PlatformTime {
	return endive.PlatformTime(at.UnixMilli())
}
func (c *steppedClock) Earliest(t endive.PlatformTime) time.Time { return time.UnixMilli(int64(t)) }

// A long poll that brings nothing new confirms the configuration as of the store's answer, not as
// of the request: otherwise it looks old for most of the time, so that entries with strict keys
// refuse calls and all entries ask each other for a newer one.
func TestConfirmedConfigurationLooksOld(t *testing.T) {
	tests := []struct {
		name string
		// now is the store's time in the last answer, and want the age after it.
		now  endive.PlatformTime
		want time.Duration
	}{
		{"the answer is as of its arrival", 4000, 0},
		{"the answer was delayed", 3000, time.Second},
		{"the answer has no time", 0, 1500 * time.Millisecond},
		{"the answer is from before the request", 2000, 1500 * time.Millisecond},
		{"the store's clock is ahead", 99000, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			log, clock := hclog.NewNullLogger(), &steppedClock{}
			clock.millis.Store(1000)
			directory := &scriptedDirectory{clock: clock, done: make(chan struct{}), responses: []endive.ConfigResponse{
				{Config: &endive.CellConfig{Version: 1}, Revision: 1}, {Revision: 1, Now: tt.now},
			}}
			c := New(Deps{
				Settings: setup.CellSettings{Name: "entry-0"}, Clock: clock, Platform: clock, Log: log, FlushLog: func() {},
				Counters: NewCounters(gauge.New(), tally.NoopScope), Store: NewStore(nil, clock, log), Directory: directory,
			})
			defer c.Close()
			go c.config.run()
			<-directory.done
			is.Equal(c.config.age(), tt.want)
		})
	}
}

// An entry with strict keys must confirm the configuration more often than it may refuse calls for
// want of that.
func TestLongPollOutlastsMaxKeyAge(t *testing.T) {
	tests := []struct {
		name      string
		strict    bool
		maxKeyAge time.Duration
		want      endive.Interval
	}{
		{"short", true, time.Second, endive.Interval(500 * time.Millisecond)},
		{"long", true, 5 * time.Second, configPollWait},
		{"not strict", false, time.Second, configPollWait},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			bounds := setup.CellBounds{StrictKeys: tt.strict, MaxKeyAge: endive.Interval(tt.maxKeyAge)}
			loop := &configLoop{cell: &Cell{Deps: Deps{Settings: setup.CellSettings{Bounds: bounds}}}}
			is.Equal(loop.pollWait(), tt.want)
		})
	}
}
