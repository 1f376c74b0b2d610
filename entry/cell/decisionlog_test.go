package cell

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
	"endiveroute.example/endive/entry/gauge"
	"endiveroute.example/endive/flow"
)

// cutLength is the length, in bytes, after which some collectors of logs cut a line.
const cutLength = 200

// fixedNow is a clock that stands still.
type fixedNow struct{ now time.Time }

func (c fixedNow) Now() time.Time { return c.now }

// newLoggingPool returns a pool whose decisions are logged to a buffer.
func newLoggingPool(level hclog.Level) (*pool, *bytes.Buffer) {
	var out bytes.Buffer
	c := &Cell{Deps: Deps{
		Clock: endive.SystemClock{}, Counters: NewCounters(gauge.New(), tally.NoopScope), LogOutput: &out,
		Log: hclog.New(&hclog.LoggerOptions{Name: "edge-caernarfon-1", Output: &out, JSONFormat: true, Level: level}),
	}}
	c.Settings.Name = "edge-caernarfon-1"
	return &pool{name: "quoting", cell: c}, &out
}

// The start of a line must say what was decided about which run, since the rest may be cut.
func TestCutDecisionLine(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	longReason := strings.Repeat("tier 0, 1 of the step wait, ", 10)
	tests := []struct {
		name     string
		decision flow.Decision
		want     []string
	}{
		{
			"end",
			flow.Decision{
				Kind: flow.DecisionEnd, Job: "c1b4247486708674", Task: "c1b4247486708674.0.0.12", Run: 1000158, Worker: "i-74ef4784",
				Outcome: "crash proven", Reason: longReason,
			},
			[]string{`"kind":"end"`, `"outcome":"crash proven"`, `"task":"c1b4247486708674.0.0.12"`, `"run":1000158`, `"worker":"i-74ef4784"`},
		},
		{
			"job",
			flow.Decision{Kind: flow.DecisionJob, Job: "c1b4247486708674", Outcome: "failed", Reason: longReason},
			[]string{`"kind":"job"`, `"outcome":"failed"`, `"job":"c1b4247486708674"`},
		},
		{
			"start after another run",
			flow.Decision{
				Kind: flow.DecisionStart, Job: "c1b4247486708674", Task: "c1b4247486708674.0.0.12", Run: 1000158, PreviousRun: 1000151,
				Worker: "i-74ef4784", Outcome: "ordered", Reason: longReason,
			},
			[]string{`"outcome":"ordered"`, `"task":"c1b4247486708674.0.0.12"`, `"worker":"i-74ef4784"`, `"previousRun":1000151`},
		},
		{
			"verdict after crashes",
			flow.Decision{
				Kind: flow.DecisionJob, Job: "c1b4247486708674", Task: "c1b4247486708674.0.0.12", Outcome: "failed", Reason: longReason,
				Evidence: flow.EvidenceCrashes, Crashes: &flow.CrashCount{Proven: 3},
			},
			[]string{
				`"outcome":"failed"`, `"task":"c1b4247486708674.0.0.12"`, `"evidence":"crashes"`, `"provenCrashes":3`, `"unprovenCrashes":0`,
				`"job":"c1b4247486708674"`,
			},
		},
		{
			"suspect",
			flow.Decision{
				Kind: flow.DecisionEnd, Job: "c1b4247486708674", Task: "c1b4247486708674.0.0.1", Run: 158, Worker: "i-74ef4784",
				Outcome: "suspect", Reason: longReason, Evidence: flow.EvidenceUnlisted, Crashes: &flow.CrashCount{Proven: 1, Unproven: 2},
			},
			[]string{`"outcome":"suspect"`, `"evidence":"unlisted"`, `"provenCrashes":1`},
		},
		{
			"lost",
			flow.Decision{
				Kind: flow.DecisionEnd, Job: "c1b4247486708674", Task: "c1b4247486708674.0.0.1", Run: 158, Worker: "i-74ef4784",
				Outcome: "lost", Reason: longReason, Evidence: flow.EvidenceRefused,
				Contact: &flow.Contact{AnsweredAt: now.Add(-4500 * time.Millisecond), LeasesEnd: now.Add(-20 * time.Millisecond)},
			},
			[]string{`"outcome":"lost"`, `"evidence":"refused"`, `"lastAnswerMillis":4500`},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, out := newLoggingPool(hclog.Info)
			p.cell.Clock = fixedNow{now}
			p.logDecision(tt.decision)
			line := out.String()
			is.True(json.Valid([]byte(line)))
			is.Equal(strings.Count(line, "\n"), 1)
			is.True(strings.HasSuffix(line, "\n"))
			for _, want := range tt.want {
				if !strings.Contains(line[:cutLength], want) {
					t.Errorf("%s isn't within the first %d bytes of %s", want, cutLength, line)
				}
			}
			for _, want := range []string{`"@level":"info"`, `"@message":"decision"`, `"@module":"edge-caernarfon-1"`, `"pool":"quoting"`, longReason} {
				is.True(strings.Contains(line, want))
			}
		})
	}
}

// A line says of a worker only what is known.
func TestContactFields(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name    string
		contact *flow.Contact
		want    string
	}{
		{"no contact", nil, `null`},
		{"never answered", &flow.Contact{Listed: true}, `{"listed":true,"reported":false}`},
		{"lease expired", &flow.Contact{AnsweredAt: now.Add(-time.Second), LeasesEnd: now.Add(-time.Millisecond)}, `{"lastAnswerMillis":1000,"leaseMillis":-1,"listed":false,"reported":false}`},
		{"listed the run", &flow.Contact{Listed: true, Reported: true}, `{"listed":true,"reported":true}`},
		{"answered just now", &flow.Contact{AnsweredAt: now, LeasesEnd: now}, `{"lastAnswerMillis":0,"leaseMillis":0,"listed":false,"reported":false}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fields, err := json.Marshal(newContactFields(tt.contact, now))
			is.NoErr(err)
			is.Equal(string(fields), tt.want)
		})
	}
}

// The log level applies to decisions as to other lines.
func TestDecisionLevel(t *testing.T) {
	is := is.New(t)
	p, out := newLoggingPool(hclog.Warn)
	p.logDecision(flow.Decision{Kind: flow.DecisionTenure, Outcome: "began"})
	is.Equal(out.String(), "")
	p.logDecision(flow.Decision{Kind: flow.DecisionRecord, Outcome: flow.OutcomeRowRejected})
	is.True(strings.Contains(out.String(), `"@level":"error"`))
}
