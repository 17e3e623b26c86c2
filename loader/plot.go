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

// The size of the plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// ticksPerHalving is the number of points per halving of the distance to the 100th percentile.
const ticksPerHalving = 4

// WritePlot plots the time to the first token in milliseconds by percentile, with a curve for each run and
// organisation. The extension of the file determines its format, such as SVG. WritePlot fails if the plot cannot be
// drawn or saved.
func WritePlot(path string, reports ...*Report) error {
	pl := plot.New()
	pl.Title.Text = "Time to the first token"
	pl.X.Label.Text = "percentile"
	pl.Y.Label.Text = "ms"
	var curves []any
	for _, re := range reports {
		for _, ms := range re.Organisations {
			if ms.firstTokenHist.TotalCount() > 0 {
				curves = append(curves, fmt.Sprintf("%s %s", re.Name, ms.Organisation), curve(ms.firstTokenHist))
			}
		}
	}
	if err := plotutil.AddLines(pl, curves...); err != nil {
		return oops.In("loader").Wrapf(err, "draw plot")
	}
	if err := pl.Save(plotWidth, plotHeight, path); err != nil {
		return oops.In("loader").Wrapf(err, "save plot")
	}
	return nil
}

// curve converts a histogram in microseconds into points of percentile and milliseconds.
func curve(hg *hdrhistogram.Histogram) plotter.XYs {
	brackets := hg.CumulativeDistributionWithTicks(ticksPerHalving)
	points := make(plotter.XYs, 0, len(brackets))
	for _, bracket := range brackets {
		micros := float64(bracket.ValueAt)
		points = append(points, plotter.XY{X: bracket.Quantile, Y: micros / float64(time.Millisecond/time.Microsecond)})
	}
	return points
}
