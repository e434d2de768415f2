package report

import (
	"tanagerspread/bench/measure"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 14
)

// Value selects the plotted value of a run.
type Value struct {
	Title string
	Of    func(Run) float64
}

// SaveBars writes an SVG with one bar for each run, labelled by label.
func SaveBars(path string, runs []Run, value Value, label func(Run) string) error {
	p := plot.New()
	p.Title.Text = value.Title
	p.Y.Min = 0
	var values plotter.Values
	var names []string
	for _, r := range runs {
		values = append(values, value.Of(r))
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

// SaveAll writes one SVG for each of the main values. The prefix begins each
// file name.
func SaveAll(prefix string, runs []Run) error {
	values := map[string]Value{
		"short-p99":  {"time to first token of the short class, p99, ms", func(r Run) float64 { return r.Short.P99 }},
		"long-p99":   {"time to first token of the long class, p99, ms", func(r Run) float64 { return r.Long.P99 }},
		"recomputed": {"recomputed tokens of returning prompts, percent", func(r Run) float64 { return 100 * r.Returning }},
		"link":       {"link use, MiB", func(r Run) float64 { return float64(r.LinkBytes) / mebibyte }},
	}
	for name, value := range values {
		if err := SaveBars(prefix+name+".svg", runs, value, labelOf); err != nil {
			return err
		}
	}
	return nil
}

func labelOf(r Run) string {
	if r.Fault != string(measure.NoFault) {
		return r.Fault
	}
	return r.Site + "\n" + r.Policy
}
