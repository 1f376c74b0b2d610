package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"

	"endiveroute.example/endive"
	"endiveroute.example/endive/client"
	"endiveroute.example/endive/meter/costs"
	"endiveroute.example/endive/meter/load"
	"endiveroute.example/endive/meter/report"
	"endiveroute.example/endive/meter/watch"
)

const usage = `Generates open-loop load on running entries and reports waiting times, the
utilization of workers (packing) and the cost of the control plane.

Requests are sent when they are due, whether or not earlier ones have been
answered, and their latency is measured from that time. The seeded mix consists
of quotes, some sent by two devices at the same time; cuts with an idempotency
key, some sent twice; and plans, which are batch jobs. Each request sets its
service time in the simulated services, so that waiting and service time can be
reported separately.

  meter --entry 127.0.0.1:8101 --health 127.0.0.1:8401 --control 127.0.0.1:9000 \
        --rate 100 --rate 200 --rate 400 --length 10s --plot waiting.svg

The services, the pool and the team must already be configured by a ticket. The
exit status is 1 if a response belonged to another request.`

// program holds the parsed command line.
type program struct {
	app          *kingpin.Application
	entries      []string
	health       []string
	control      string
	rates        []float64
	stepDuration endive.Interval
	jobTimeout   endive.Interval
	seed         uint64
	name         string
	maxInFlight  int
	json         bool
	plot         string
	target       load.Target
	mix          load.Mix
	clock        endive.Clock
}

// newProgram returns a program with all flags defined.
func newProgram() *program {
	p := &program{app: kingpin.New("meter", usage), clock: endive.SystemClock{}}
	p.app.Flag("entry", "Address of an entry's client or operator listener; may be repeated. Packing needs operator listeners.").Required().StringsVar(&p.entries)
	p.app.Flag("health", "Address of an entry's health listener; may be repeated.").StringsVar(&p.health)
	p.app.Flag("control", "Address of the control listener of the simulated services.").StringVar(&p.control)
	p.app.Flag("rate", "Arrivals per second; each rate is measured as one step.").Default("100").Float64ListVar(&p.rates)
	intervalVar(p.app.Flag("length", "Duration of a step.").Default("10s"), &p.stepDuration)
	intervalVar(p.app.Flag("settle", "Maximum wait for the jobs of a step to end.").Default("20s"), &p.jobTimeout)
	p.app.Flag("seed", "Seed of the load.").Default("1").Uint64Var(&p.seed)
	p.app.Flag("name", "Prefix of all idempotency keys; must differ between runs. Derived from the time by default.").StringVar(&p.name)
	p.app.Flag("in-flight", "Maximum number of requests in flight.").Default("20000").IntVar(&p.maxInFlight)
	p.app.Flag("json", "Write JSON instead of tables.").BoolVar(&p.json)
	p.app.Flag("plot", "Write a plot of waiting time against load to this .svg or .png file.").StringVar(&p.plot)
	p.defineTarget()
	p.defineMix()
	return p
}

// defineTarget defines the flags of the services, pool and team that receive the load.
func (p *program) defineTarget() {
	p.app.Flag("quote-service", "Service that receives the quotes.").Default("quote").StringVar((*string)(&p.target.Quote))
	p.app.Flag("cut-service", "Service that receives the cuts.").Default("cut").StringVar((*string)(&p.target.Cut))
	p.app.Flag("pool", "Pool that runs the plans.").Default("quoting").StringVar((*string)(&p.target.Pool))
	p.app.Flag("team", "Team that submits the plans.").Default("workshop").StringVar((*string)(&p.target.Team))
	intervalVar(p.app.Flag("deadline", "Deadline of each request.").Default("2s"), &p.target.Timeout)
}

// defineMix defines the flags of the mix of requests.
func (p *program) defineMix() {
	p.app.Flag("cuts", "Fraction of arrivals that are cuts.").Default("0.1").Float64Var(&p.mix.Cuts)
	p.app.Flag("plans", "Fraction of arrivals that are plans.").Default("0.01").Float64Var(&p.mix.Plans)
	p.app.Flag("devices", "Fraction of the quotes that two devices send at the same time.").Default("0.1").Float64Var(&p.mix.Devices)
	p.app.Flag("retries", "Fraction of the cuts that are sent twice.").Default("0.2").Float64Var(&p.mix.Retries)
	intervalVar(p.app.Flag("quote-time", "Mean service time of a quote.").Default("20ms"), &p.mix.QuoteTime)
	intervalVar(p.app.Flag("cut-time", "Mean service time of a cut.").Default("50ms"), &p.mix.CutTime)
	intervalVar(p.app.Flag("plan-time", "Run time of each task of a plan.").Default("500ms"), &p.mix.PlanTime)
	p.app.Flag("plan-tasks", "Number of tasks of a plan.").Default("4").IntVar(&p.mix.PlanTasks)
}

// run measures each rate and writes the report.
func (p *program) run(ctx context.Context) error {
	if p.name == "" {
		p.name = fmt.Sprintf("m%x", p.clock.Now().UnixMilli())
	}
	c := client.New(p.clock, parseAddresses(p.entries)...)
	defer c.Close()
	reader := costs.NewReader(parseAddresses(p.health), endive.Address(p.control))
	var results []report.RateResult
	for i, rate := range p.rates {
		if ctx.Err() != nil {
			break
		}
		results = append(results, p.measureRate(ctx, c, reader, fmt.Sprintf("%s-%d", p.name, i), rate))
	}
	if err := p.writeReport(results); err != nil {
		return err
	}
	for _, result := range results {
		for _, kind := range result.Kinds {
			if kind.Wrong > 0 {
				return errs.New("%d answers to a %s belonged to another request", kind.Wrong, kind.Kind)
			}
		}
	}
	return nil
}

// measureRate runs the load at one rate and returns its measurements.
func (p *program) measureRate(ctx context.Context, c *client.Client, reader *costs.Reader, name string, rate float64) report.RateResult {
	results := load.NewResults()
	arrivals := load.GenerateArrivals(p.seed, name, rate, p.stepDuration, p.mix)
	p.awaitMetrics(ctx)
	before := reader.Read(ctx, p.clock.Now())
	watcher := watch.Start(ctx, c, reader)
	load.NewRunner(c, p.clock, p.target, p.maxInFlight, results).Run(ctx, arrivals)
	packing, missed := watcher.Stop()
	p.awaitMetrics(ctx)
	after := reader.Read(ctx, p.clock.Now())
	result := report.RateResult{
		Rate: rate, Kinds: report.NewKindResults(results), Packing: packing, MissedSamples: missed,
		Cost: costs.Between(before, after), MaxDelay: results.MaxDelay(),
		Jobs: watch.AwaitJobs(ctx, c, p.clock, results.Jobs(), p.jobTimeout.After(p.clock.Now())),
	}
	if counts := reader.Read(ctx, p.clock.Now()).Counts; counts != nil {
		result.Starts, result.RestartedTasks = counts.Workers.Starts, counts.Workers.StartedAgain
		result.MaxCutRuns = counts.Services[string(p.target.Cut)].MostBodyRuns
	}
	return result
}

// metricsPeriod is the maximum age of the values on a metrics page.
const metricsPeriod = 1100 * time.Millisecond

// awaitMetrics waits until the entries' metrics pages include all counts so far.
func (p *program) awaitMetrics(ctx context.Context) {
	timer := time.NewTimer(metricsPeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// writeReport writes the plot, if requested, and the results as tables or JSON.
func (p *program) writeReport(results []report.RateResult) error {
	if p.plot != "" {
		if err := report.WritePlot(p.plot, results); err != nil {
			return err
		}
	}
	if !p.json {
		return report.WriteTables(os.Stdout, results)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}

// parseAddresses returns the addresses in the values of a flag, each of which
// may be a comma-separated list.
func parseAddresses(values []string) []endive.Address {
	var list []endive.Address
	for _, value := range strings.Split(strings.Join(values, ","), ",") {
		if value != "" {
			list = append(list, endive.Address(value))
		}
	}
	return list
}

// intervalVar makes flag set an interval.
func intervalVar(flag *kingpin.FlagClause, interval *endive.Interval) {
	flag.SetValue(intervalValue{interval})
}

// intervalValue is the value of a flag such as "2s".
type intervalValue struct {
	*endive.Interval
}

// Set implements kingpin.Value.
func (v intervalValue) Set(text string) error { return v.UnmarshalText([]byte(text)) }
