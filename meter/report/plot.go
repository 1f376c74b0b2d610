package report

import (
	"time"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"endiveroute.example/endive"
	"endiveroute.example/endive/meter/load"
)

// Size of the plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// legendFactor extends the vertical axis beyond the highest point.
	legendFactor = 30
)

// WritePlot writes a plot of waiting time against load to a file. The extension, .svg or
// .png, determines the format.
func WritePlot(path string, results []RateResult) error {
	p := plot.New()
	p.Title.Text = "Waiting against load"
	p.X.Label.Text = "arrivals a second"
	p.Y.Label.Text = "waiting (ms)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, kind := range []load.Kind{load.Quote, load.Cut} {
		lines = append(lines,
			string(kind)+" p50", percentilePoints(results, kind, func(t Percentiles) endive.Interval { return t.P50 }),
			string(kind)+" p99", percentilePoints(results, kind, func(t Percentiles) endive.Interval { return t.P99 }))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errs.New("report.WritePlot: %w", err)
	}
	// Make space for the legend above the lines.
	p.Y.Max *= legendFactor
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errs.New("report.WritePlot: %w", err)
	}
	return nil
}

// percentilePoints returns one percentile of a kind's waiting time for each rate.
func percentilePoints(results []RateResult, kind load.Kind, percentile func(Percentiles) endive.Interval) plotter.XYs {
	var xys plotter.XYs
	for _, result := range results {
		for _, k := range result.Kinds {
			if k.Kind == kind && k.Answered > 0 {
				xys = append(xys, plotter.XY{X: result.Rate, Y: float64(time.Duration(percentile(k.Waiting)).Microseconds()) / 1000})
			}
		}
	}
	return xys
}
