package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/meter/costs"
	"endiveroute.example/endive/meter/load"
	"endiveroute.example/endive/meter/watch"
)

func TestReport(t *testing.T) {
	is := is.New(t)
	ten := endive.Interval(10 * time.Millisecond)
	steps := []RateResult{{
		Rate: 50, Kinds: []KindResult{{Kind: load.Quote, Sent: 4, Answered: 3, NotRun: 1, Waiting: Percentiles{ten, ten, ten, 2 * ten}}},
		Packing: []watch.Packing{{Pool: "planner", QueuedSamples: 1, TotalSamples: 2, Accelerators: 0.875}},
		Cost:    costs.Cost{Seconds: 2, Entries: 2, PeerBytes: 400, Missing: []string{"entry-3 is down"}}, MaxCutRuns: 1,
	}}
	var tables strings.Builder
	is.NoErr(WriteTables(&tables, steps))
	for _, want := range []string{"50      quote  4     3         1 ", " 10.0  20.0 ", "planner  1        2 ", " 87.5 ", " 100 ", "not read: entry-3 is down"} {
		if !strings.Contains(tables.String(), want) {
			t.Errorf("%q isn't in\n%s", want, tables.String())
		}
	}
	path := filepath.Join(t.TempDir(), "plot.svg")
	is.NoErr(WritePlot(path, steps))
	text, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "<svg"))
}
