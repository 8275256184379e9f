package load

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/crocusline/crocusline/models/rank"
)

// Dimensions of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot writes the goodput of each pool by rank and by workspace over time as
// PNG files into a directory.
func (r *Result) Plot(directory string) error {
	for i := range r.workload.Pools {
		pool := r.workload.Pools[i].Name
		var ranks []GroupKey
		for rk := rank.Urgent; rk <= rank.Bulk; rk++ {
			ranks = append(ranks, GroupKey{Pool: pool, Rank: rk})
			var workspaces []GroupKey
			for _, w := range r.workspaces(pool, rk) {
				workspaces = append(workspaces, GroupKey{Pool: pool, Rank: rk, Workspace: w})
			}
			if err := r.plot(directory, pool+" "+rk.String()+" by workspace", workspaces); err != nil {
				return err
			}
		}
		if err := r.plot(directory, pool+" by rank", ranks); err != nil {
			return err
		}
	}
	return nil
}

func (r *Result) plot(directory, title string, groups []GroupKey) error {
	if len(groups) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = r.workload.Name + ": goodput " + title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "tokens/s"
	p.Legend.Top = true
	for i, key := range groups {
		line, err := plotter.NewLine(r.points(r.Group(key).GoodputTokens))
		if err != nil {
			return errors.WithStack(err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
		p.Add(line)
		name := key.Workspace
		if name == "" {
			name = key.Rank.String()
		}
		p.Legend.Add(name, line)
	}
	file := strings.NewReplacer(" ", "_", ",", "", "/", "_").Replace(fmt.Sprintf("%s %s.png", r.workload.Name, title))
	return errors.WithStack(p.Save(plotWidth, plotHeight, filepath.Join(directory, file)))
}

// points returns the moving average of a series of values per second.
func (r *Result) points(series []int) plotter.XYs {
	var points plotter.XYs
	for at := 0; at+averagingSeconds <= int(r.workload.Duration/time.Second); at++ {
		points = append(points, plotter.XY{
			X: float64(at) + averagingSeconds/2.0, Y: float64(sumInts(series[at:at+averagingSeconds])) / averagingSeconds,
		})
	}
	return points
}
