package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/pkg/errors"
)

// The markers that enclose the figures in the page.
const (
	beginMarker = "<!-- figures: written by make capacity -->"
	endMarker   = "<!-- end of figures -->"
)

// Run takes all measures and replaces the figures in the page. bin is the folder of
// the binaries, and dir that of the processes' settings and logs.
func Run(ctx context.Context, bin, dir, page string) error {
	results, err := measureAll(ctx, bin, dir)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return errors.WithStack(err)
	}
	before, remainder, found := strings.Cut(string(text), beginMarker)
	if !found {
		return errors.Errorf("%s has no line %q", page, beginMarker)
	}
	_, after, found := strings.Cut(remainder, endMarker)
	if !found {
		return errors.Errorf("%s has no line %q", page, endMarker)
	}
	updated := before + beginMarker + "\n\n" + formatFigures(results) + "\n" + endMarker + after
	return errors.WithStack(os.WriteFile(page, []byte(updated), 0o644))
}

func measureAll(ctx context.Context, bin, dir string) ([]Result, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	results, err := sampleAll(ctx, append(fleetMeasures(), ledgerMeasures()...))
	if err != nil {
		return nil, err
	}
	for _, measures := range []func(*processes) []Measure{(*processes).controlMeasures, (*processes).requestMeasures} {
		more, err := measureProcesses(ctx, bin, dir, measures)
		if err != nil {
			return nil, err
		}
		results = append(results, more...)
	}
	return results, nil
}

// measureProcesses starts the measured processes, takes the measures and stops the
// processes.
func measureProcesses(ctx context.Context, bin, dir string, measures func(*processes) []Measure) ([]Result, error) {
	p, err := startProcesses(ctx, bin, dir)
	if err != nil {
		return nil, err
	}
	results, err := sampleAll(ctx, measures(p))
	if closeErr := p.Close(); err == nil {
		err = closeErr
	}
	return results, err
}

func sampleAll(ctx context.Context, measures []Measure) ([]Result, error) {
	var results []Result
	for _, m := range measures {
		r, err := m.sample(ctx)
		if err != nil {
			return nil, errors.WithMessage(err, m.Name)
		}
		results = append(results, r)
	}
	return results, nil
}

func formatFigures(results []Result) string {
	byName := slopes{}
	var b strings.Builder
	fmt.Fprintf(&b, "Measured with %s on %d cores.\n\n", runtime.Version(), runtime.NumCPU())
	b.WriteString("### Slopes\n\n| measure | of | sizes | samples | cost of one | fit |\n|---|---|---|---|---|---|\n")
	for _, r := range results {
		byName[r.Name] = r
		fmt.Fprintf(&b, "| `%s` | %s, by %s | %s | %s | %s %s | %.3f |\n",
			r.Name, r.Quantity, r.Item, joinInts(r.Sizes), joinFloats(r.Samples), formatFigure(r.Slope), r.Unit, r.RSquared)
	}
	b.WriteString("\n### At the size\n\n| role | resource | made up of | sum | limit | carried by |\n|---|---|---|---|---|---|\n")
	for _, s := range requirements(byName) {
		limit := "none set"
		if s.Limit > 0 {
			limit = formatFigure(s.Limit) + " " + s.Unit
		}
		if s.ExceedsLimit() {
			limit += " **over**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s %s | %s | %s |\n", s.Role, s.Resource, s.Terms, formatFigure(s.Amount), s.Unit, limit, s.Mechanism)
	}
	return b.String()
}

func joinInts(list []int) string {
	var texts []string
	for _, n := range list {
		texts = append(texts, fmt.Sprint(n))
	}
	return strings.Join(texts, ", ")
}

func joinFloats(list []float64) string {
	var texts []string
	for _, v := range list {
		texts = append(texts, formatFigure(v))
	}
	return strings.Join(texts, ", ")
}

// formatFigure formats a number with three significant digits, or as an integer if
// its magnitude is 1000 or more.
func formatFigure(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
