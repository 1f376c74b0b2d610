package weigh

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/route"
	"endiveroute.example/endive/slots"
)

const (
	warmUp   = 5 * time.Second
	measured = 30 * time.Second
)

var seed = flag.Int64("seed", 1, "seed of the arrivals and service times")

// variants are the implementations of endive.Slots that are compared, with
// their routers.
var variants = []struct {
	name string
	new  variant
}{
	{"shares", func(endive.EntryID, endive.Incarnation) (endive.Slots, endive.Router) {
		return slots.NewShares(), route.LowestLatency{}
	}},
	{"owners", newOwners},
	{"least", func(self endive.EntryID, _ endive.Incarnation) (endive.Slots, endive.Router) {
		return slots.NewEstimates(self), route.NewTwoChoices(int64(len(self)) + int64(self[len(self)-1]))
	}},
}

func newOwners(self endive.EntryID, _ endive.Incarnation) (endive.Slots, endive.Router) {
	return slots.NewOwners(self), route.LowestLatency{}
}

// applyTypicalFaults makes a tenth of the executors slow and makes one executor
// fail all requests immediately.
func applyTypicalFaults(c *cell) {
	for i := range slowExecutors {
		c.hosts[5+10*i].fault = slow
	}
	c.hosts[2].fault = failing
}

// sortTimes sorts the durations of a summary.
func sortTimes(f summary) summary {
	slices.Sort(f.waits)
	slices.Sort(f.totals)
	return f
}

// BenchmarkSlots compares the implementations of endive.Slots, and one ideal
// shared queue, at several loads. Run the benchmark with -benchtime 1x.
func BenchmarkSlots(b *testing.B) {
	for _, percent := range []int{50, 80, 95, 100, 120} {
		for _, w := range variants {
			b.Run(fmt.Sprintf("%s/load=%d", w.name, percent), func(b *testing.B) {
				for range b.N {
					c := newCell(*seed, w.new)
					applyTypicalFaults(c)
					rate := c.capacity() * float64(percent) / 100
					c.load(rate, warmUp)
					before := *c
					c.load(rate, measured)
					after := *c
					c.run(2 * timeout)
					f := c.summarize(before.now, after.now)
					report(b, f)
					b.ReportMetric(100*(after.busyTime-before.busyTime).Seconds()/measured.Seconds()/executors/slotsEach, "used-%")
					b.ReportMetric(float64(after.calls-before.calls)/float64(f.sent), "attempts")
					b.ReportMetric(float64(c.mostBusy()), "slots")
					b.ReportMetric(float64(after.controlBytes-before.controlBytes)/measured.Seconds()/entries, "B/s/entry")
					b.ReportMetric(float64(after.crossRegionBytes-before.crossRegionBytes)/measured.Seconds(), "crossB/s")
					b.ReportMetric(float64(after.crossRegionBodyBytes-before.crossRegionBodyBytes)/measured.Seconds(), "bodyB/s")
				}
			})
		}
		b.Run(fmt.Sprintf("ideal/load=%d", percent), func(b *testing.B) {
			for range b.N {
				c := &cell{}
				for range executors {
					c.hosts = append(c.hosts, &host{})
				}
				applyTypicalFaults(c)
				report(b, runIdeal(*seed, c.capacity()*float64(percent)/100, applyTypicalFaults, measured, warmUp))
			}
		})
	}
}

// report reports the summary as metrics of the benchmark.
func report(b *testing.B, f summary) {
	b.ReportMetric(0, "ns/op")
	for _, q := range []struct {
		name string
		q    float64
	}{{"p50", 0.5}, {"p99", 0.99}, {"p999", 0.999}} {
		b.ReportMetric(quantile(f.waits, q.q), "wait-"+q.name)
		b.ReportMetric(quantile(f.totals, q.q), "total-"+q.name)
	}
	b.ReportMetric(float64(f.answered)/measured.Seconds(), "answered/s")
	b.ReportMetric(100*float64(f.notRun)/float64(f.sent), "refused-%")
	b.ReportMetric(100*float64(f.unknown)/float64(f.sent), "unknown-%")
	b.ReportMetric(float64(f.noRetryAt), "noRetryAt")
}
