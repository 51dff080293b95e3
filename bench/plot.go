package bench

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Size of the plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// plotLatency plots the 99th percentile latency of each policy of the first
// scenario by load.
func plotLatency(path string, report schema.PolicyReport) error {
	p := plot.New()
	p.Title.Text = "99th percentile by load"
	p.X.Label.Text = "load in % of the measured capacity"
	p.Y.Label.Text = "latency in ms"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	for index, variant := range Scenarios[0].Variants {
		line, points, err := plotter.NewLinePoints(series(report, variant.Name))
		if err != nil {
			return err
		}
		line.Color, points.Color = plotutil.Color(index), plotutil.Color(index) //nolint:misspell // names of the library
		points.Shape = plotutil.Shape(index)
		p.Add(line, points)
		p.Legend.Add(variant.Name, line, points)
	}

	return p.Save(plotWidth, plotHeight, path)
}

// series returns the mean 99th percentile latency of a policy at each load.
func series(report schema.PolicyReport, policy string) plotter.XYs {
	points := make(plotter.XYs, 0, len(Scenarios[0].Loads))
	for _, load := range Scenarios[0].Loads {
		points = append(points, plotter.XY{X: float64(load), Y: Summarise(report, nameShifting, policy, load).P99.Mean})
	}

	return points
}
