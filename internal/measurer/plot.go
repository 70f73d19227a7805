package measurer

import (
	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	// barWidth is in points.
	barWidth = 12
)

// WritePlot writes a bar chart of the weighted attainment by scenario to a file. The
// file name's extension (.svg or .png) determines the format.
func (r *Report) WritePlot(file string) error {
	p := plot.New()
	p.Title.Text = "Weighted attainment by scenario"
	p.Y.Label.Text = "attainment"
	p.Y.Min, p.Y.Max = 0, 1.15
	p.Legend.Top = true
	names := r.scenarioNames()
	series := []struct {
		label string
		value func(*Row) (float64, bool)
	}{
		{"baseline", func(row *Row) (float64, bool) { return row.Attainment, row.Policy == PolicyBaseline }},
		{"full", func(row *Row) (float64, bool) { return row.Attainment, row.Policy == PolicyFull }},
		{"limit", func(row *Row) (float64, bool) { return row.AttainmentLimit, true }},
	}
	for i, item := range series {
		bars, err := plotter.NewBarChart(r.barValues(names, item.value), vg.Points(barWidth))
		if err != nil {
			return merry.Prepend(err, "draw plot")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(float64(barWidth) * float64(i-1))
		p.Add(bars)
		p.Legend.Add(item.label, bars)
	}
	p.Legend.XOffs = -vg.Points(4)
	p.NominalX(names...)
	return merry.Wrap(p.Save(plotWidth, plotHeight, file))
}

// scenarioNames returns the names of the scenarios in the order of their rows.
func (r *Report) scenarioNames() []string {
	var names []string
	for _, row := range r.Rows {
		if len(names) == 0 || names[len(names)-1] != row.Scenario {
			names = append(names, row.Scenario)
		}
	}
	return names
}

// barValues returns one value for each of the named scenarios: that of the last row for
// which value returns true.
func (r *Report) barValues(names []string, value func(*Row) (float64, bool)) plotter.Values {
	values := make(plotter.Values, len(names))
	for i, name := range names {
		for _, row := range r.Rows {
			if v, ok := value(row); ok && row.Scenario == name {
				values[i] = v
			}
		}
	}
	return values
}
