package report

import (
	"tanagerspread/bench/measure"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot and the width of a bar in points.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 14
)

// Metric is a plotted figure of a run and the title of its plot.
type Metric struct {
	Title string
	Value func(Run) float64
}

// SaveBarChart writes an SVG with one bar for each run. The function label returns
// the label of a bar.
func SaveBarChart(path string, runs []Run, metric Metric, label func(Run) string) error {
	p := plot.New()
	p.Title.Text = metric.Title
	p.Y.Min = 0
	var values plotter.Values
	var names []string
	for _, r := range runs {
		values = append(values, metric.Value(r))
		names = append(names, label(r))
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(0)
	p.Add(bars)
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, path)
}

// SaveCharts writes one SVG for each of the main metrics. The file names begin
// with the prefix.
func SaveCharts(prefix string, runs []Run) error {
	metrics := map[string]Metric{
		"short-p99":  {"time to first token of the short class, p99, ms", func(r Run) float64 { return r.Short.P99 }},
		"long-p99":   {"time to first token of the long class, p99, ms", func(r Run) float64 { return r.Long.P99 }},
		"recomputed": {"recomputed tokens of returning prompts, percent", func(r Run) float64 { return 100 * r.RecomputedReturning }},
		"link":       {"link use, MiB", func(r Run) float64 { return float64(r.LinkBytes) / mebibyte }},
	}
	for name, metric := range metrics {
		if err := SaveBarChart(prefix+name+".svg", runs, metric, runLabel); err != nil {
			return err
		}
	}
	return nil
}

func runLabel(r Run) string {
	if r.Fault != string(measure.NoFault) {
		return r.Fault
	}
	return r.Site + "\n" + r.Policy
}
