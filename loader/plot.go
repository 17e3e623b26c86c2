package loader

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The plot's size.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// plotTicks is the points for each halving of the distance to 100 per cent.
const plotTicks = 4

// WritePlot draws the time to the first token by percentile, a curve for each run and organisation, into a file whose
// extension says the format, such as SVG.
func WritePlot(path string, reports ...*Report) error {
	pl := plot.New()
	pl.Title.Text = "Time to the first token"
	pl.X.Label.Text = "percentile"
	pl.Y.Label.Text = "ms"
	var curves []any
	for _, re := range reports {
		for _, ms := range re.Organisations {
			if ms.first.TotalCount() > 0 {
				curves = append(curves, fmt.Sprintf("%s %s", re.Name, ms.Organisation), curve(ms.first))
			}
		}
	}
	if err := plotutil.AddLines(pl, curves...); err != nil {
		return oops.In("loader").Wrapf(err, "plot")
	}
	if err := pl.Save(plotWidth, plotHeight, path); err != nil {
		return oops.In("loader").Wrapf(err, "save plot")
	}
	return nil
}

// curve returns a distribution as points of percentile and milliseconds.
func curve(hg *hdrhistogram.Histogram) plotter.XYs {
	brackets := hg.CumulativeDistributionWithTicks(plotTicks)
	points := make(plotter.XYs, 0, len(brackets))
	for _, bracket := range brackets {
		micros := float64(bracket.ValueAt)
		points = append(points, plotter.XY{X: bracket.Quantile, Y: micros / float64(time.Millisecond/time.Microsecond)})
	}
	return points
}
