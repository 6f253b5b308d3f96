package main

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// chart is one plot; its series are drawn in order.
type chart struct {
	file, title, x, y string
	logX, logY        bool
	series            []series
}

type series struct {
	name   string
	points plotter.XYs
}

// tailDistribution returns the complementary cumulative distribution of sorted
// values, reduced to at most 400 points.
func tailDistribution(name string, sorted []float64) series {
	s := series{name: name}
	last := -1
	for exponent := range 400 {
		// The step shrinks towards the tail, which the plot is about.
		tail := 1.0
		for range exponent {
			tail *= 0.975
		}
		i := int((1 - tail) * float64(len(sorted)))
		if i >= len(sorted) || i == last {
			continue
		}
		last = i
		s.points = append(s.points, plotter.XY{X: max(sorted[i], 1e-3), Y: tail})
	}
	return s
}

// save writes the chart as an SVG file.
func (c chart) save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create the directory for plots")
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, c.x, c.y
	if c.logX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if c.logY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	p.Legend.Top = true
	for i, s := range c.series {
		if len(s.points) == 0 {
			continue
		}
		line, err := plotter.NewLine(s.points)
		if err != nil {
			return errors.Wrapf(err, "plot %s", c.file)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return errors.Wrapf(p.Save(18*vg.Centimeter, 11*vg.Centimeter, filepath.Join(dir, c.file)), "plot %s", c.file)
}
