// Package seamplot plots experiment results as PNG and SVG files.
package seamplot

import (
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cardamomseam/internal/prove/seamexperiment"
)

const (
	width  = 18 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// chart is a line chart. Its name is the file name without extension.
type chart struct {
	name         string
	title        string
	xName, yName string
	lines        []seamexperiment.Series
}

// Draw plots the results into files in directory and returns their paths. It draws one chart for each
// kind of series and one for each measurement that was made at several fleet sizes. If only is not empty,
// it draws only the charts with these names.
func Draw(results []seamexperiment.Result, directory string, only []string) ([]string, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, err
	}
	var files []string
	for _, p := range append(seriesCharts(results), sizeCharts(results)...) {
		if len(only) > 0 && !slices.Contains(only, p.name) {
			continue
		}
		drawn, err := p.draw(directory)
		if err != nil {
			return files, errors.Wrap(err, p.name)
		}
		files = append(files, drawn...)
	}
	return files, nil
}

// seriesCharts returns one chart for all series of an experiment that have the same y axis.
func seriesCharts(results []seamexperiment.Result) []chart {
	charts := map[string]*chart{}
	for _, r := range results {
		for _, s := range r.Series {
			name := fileName(r.Name, s.YName)
			p := charts[name]
			if p == nil {
				p = &chart{name: name, title: r.Name, xName: s.XName, yName: s.YName}
				charts[name] = p
			}
			p.lines = append(p.lines, s)
		}
	}
	return sortedByName(charts)
}

// sizeCharts returns charts of measurements by the number of nodes. Measurements whose names differ only in the
// middle, such as idle-member-sent and idle-backup-sent, are lines of one chart.
func sizeCharts(results []seamexperiment.Result) []chart {
	charts := map[string]*chart{}
	for _, r := range results {
		for _, m := range r.Measurements {
			title, line := splitName(m.Name)
			name := fileName(r.Name, title)
			p := charts[name]
			if p == nil {
				p = &chart{name: name, title: r.Name + " " + title, xName: "nodes", yName: m.Unit}
				charts[name] = p
			}
			p.add(line, float64(r.Size), m.Value)
		}
	}
	for name, p := range charts {
		if !p.hasSeveralSizes() {
			delete(charts, name)
		}
	}
	return sortedByName(charts)
}

// splitName splits the name of a measurement into the title of its chart and the name of its line.
func splitName(name string) (title, line string) {
	parts := strings.Split(name, "-")
	last := len(parts) - 1
	if last < 2 {
		return name, name
	}
	return parts[0] + "-" + parts[last], strings.Join(parts[1:last], "-")
}

func (p *chart) add(line string, x, y float64) {
	for i := range p.lines {
		if p.lines[i].Name == line {
			p.lines[i].X = append(p.lines[i].X, x)
			p.lines[i].Y = append(p.lines[i].Y, y)
			return
		}
	}
	p.lines = append(p.lines, seamexperiment.Series{Name: line, X: []float64{x}, Y: []float64{y}})
}

func (p *chart) hasSeveralSizes() bool {
	for _, l := range p.lines {
		for _, x := range l.X {
			if x != l.X[0] {
				return true
			}
		}
	}
	return false
}

func sortedByName(charts map[string]*chart) []chart {
	list := make([]chart, 0, len(charts))
	for _, p := range charts {
		list = append(list, *p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

func fileName(parts ...string) string {
	return strings.NewReplacer(" ", "-", "/", "-", "%", "percent").Replace(strings.Join(parts, "-"))
}

func (p chart) draw(directory string) ([]string, error) {
	d := plot.New()
	d.Title.Text = p.title
	d.X.Label.Text = p.xName
	d.Y.Label.Text = p.yName
	d.Y.Min = 0
	d.Legend.Top = true
	d.Add(plotter.NewGrid())
	for i, s := range p.lines {
		line, points, err := plotter.NewLinePoints(toXYs(s))
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		d.Add(line, points)
		d.Legend.Add(s.Name, line, points)
	}
	var files []string
	for _, extension := range []string{".png", ".svg"} {
		file := filepath.Join(directory, p.name+extension)
		if err := d.Save(width, height, file); err != nil {
			return files, err
		}
		files = append(files, file)
	}
	return files, nil
}

func toXYs(s seamexperiment.Series) plotter.XYs {
	list := make(plotter.XYs, min(len(s.X), len(s.Y)))
	for i := range list {
		list[i].X, list[i].Y = s.X[i], s.Y[i]
	}
	return list
}
