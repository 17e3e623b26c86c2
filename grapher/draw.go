package grapher

import (
	"os"
	"time"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The dimensions of the SVG image.
const (
	width      = 24 * vg.Centimeter
	panelSize  = 7 * vg.Centimeter
	panelSpace = 3 * vg.Millimeter
)

// curve is a named line of a panel with its value per second.
type curve struct {
	name  string
	value func(*second) float64
}

// panel is a plot of curves over time.
type panel struct {
	title  string
	unit   string
	curves []curve
}

var panels = []panel{
	{"Requests by their end", "a second", []curve{
		{"served", func(se *second) float64 { return float64(se.served) }},
		{"refused", func(se *second) float64 { return float64(se.refused) }},
		{"failed", func(se *second) float64 { return float64(se.failed) }},
	}},
	{"Time to the first answer", "ms", []curve{
		{"median", func(se *second) float64 { return quantile(se.firstByteMs, 0.5) }},
		{"99 of 100", func(se *second) float64 { return quantile(se.firstByteMs, 0.99) }},
	}},
	{"Wait for adapters", "ms", []curve{
		{"median", func(se *second) float64 { return quantile(se.loadWaitsMs, 0.5) }},
		{"99 of 100", func(se *second) float64 { return quantile(se.loadWaitsMs, 0.99) }},
	}},
	{"Loads begun", "a second", []curve{
		{"loads", func(se *second) float64 { return float64(se.loads) }},
	}},
}

// Draw writes the graph to a file as SVG. It returns an error if a panel cannot be plotted or the file cannot be written.
func (gr *Graph) Draw(path string) error {
	plots := make([][]*plot.Plot, 0, len(panels))
	for _, pa := range panels {
		pl, err := gr.plot(pa)
		if err != nil {
			return oops.In("grapher").Wrapf(err, "plot %s", pa.title)
		}
		plots = append(plots, []*plot.Plot{pl})
	}
	canvas := vgsvg.New(width, panelSize*vg.Length(len(panels)))
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: panelSpace}
	for row, cells := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[row][0].Draw(cells[0])
	}
	file, err := os.Create(path)
	if err != nil {
		return oops.In("grapher").Wrapf(err, "create file")
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return oops.In("grapher").Wrapf(err, "write %s", path)
	}
	return oops.In("grapher").Wrapf(file.Close(), "close %s", path)
}

func (gr *Graph) plot(pa panel) (*plot.Plot, error) {
	pl := plot.New()
	pl.Title.Text, pl.X.Label.Text, pl.Y.Label.Text = pa.title, "seconds", pa.unit
	pl.Y.Min = 0
	lines := make([]any, 0, 2*len(pa.curves))
	for _, cu := range pa.curves {
		lines = append(lines, cu.name, gr.points(cu))
	}
	return pl, plotutil.AddLines(pl, lines...)
}

// points returns the values of a curve, with times in seconds since the first second. The value is 0 for a second without log
// lines.
func (gr *Graph) points(cu curve) plotter.XYs {
	times := gr.times()
	if len(times) == 0 {
		return plotter.XYs{{}}
	}
	var points plotter.XYs
	first, last := times[0], times[len(times)-1]
	for at := first; !at.After(last); at = at.Add(time.Second) {
		point := plotter.XY{X: at.Sub(first).Seconds()}
		if se, ok := gr.seconds[at]; ok {
			point.Y = cu.value(se)
		}
		points = append(points, point)
	}
	return points
}
