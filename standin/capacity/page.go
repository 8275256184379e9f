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

// The marks in the page between which the figures stand.
const (
	beginMark = "<!-- figures: written by make capacity -->"
	endMark   = "<!-- end of figures -->"
)

// Run takes all measures and writes the figures into the page.
func Run(ctx context.Context, bin, dir, page string) error {
	results, err := measureAll(ctx, bin, dir)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return errors.WithStack(err)
	}
	head, rest, found := strings.Cut(string(text), beginMark)
	if !found {
		return errors.Errorf("%s has no line %q", page, beginMark)
	}
	_, tail, found := strings.Cut(rest, endMark)
	if !found {
		return errors.Errorf("%s has no line %q", page, endMark)
	}
	figures := head + beginMark + "\n\n" + figuresOf(results) + "\n" + endMark + tail
	return errors.WithStack(os.WriteFile(page, []byte(figures), 0o644))
}

func measureAll(ctx context.Context, bin, dir string) ([]Result, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	results, err := runAll(ctx, append(fleetMeasures(), ledgerMeasures()...))
	if err != nil {
		return nil, err
	}
	for _, choose := range []func(*processes) []Measure{(*processes).controlMeasures, (*processes).requestMeasures} {
		more, err := measureProcesses(ctx, bin, dir, choose)
		if err != nil {
			return nil, err
		}
		results = append(results, more...)
	}
	return results, nil
}

// measureProcesses takes measures of processes that are started for them.
func measureProcesses(ctx context.Context, bin, dir string, choose func(*processes) []Measure) ([]Result, error) {
	p, err := startProcesses(ctx, bin, dir)
	if err != nil {
		return nil, err
	}
	results, err := runAll(ctx, choose(p))
	if closeErr := p.Close(); err == nil {
		err = closeErr
	}
	return results, err
}

func runAll(ctx context.Context, measures []Measure) ([]Result, error) {
	var results []Result
	for _, m := range measures {
		r, err := m.run(ctx)
		if err != nil {
			return nil, errors.WithMessage(err, m.Name)
		}
		results = append(results, r)
	}
	return results, nil
}

func figuresOf(results []Result) string {
	byName := slopes{}
	var b strings.Builder
	fmt.Fprintf(&b, "Measured with %s on %d cores.\n\n", runtime.Version(), runtime.NumCPU())
	b.WriteString("### Slopes\n\n| measure | of | sizes | samples | cost of one | fit |\n|---|---|---|---|---|---|\n")
	for _, r := range results {
		byName[r.Name] = r
		fmt.Fprintf(&b, "| `%s` | %s, by %s | %s | %s | %s %s | %.3f |\n",
			r.Name, r.What, r.Per, ints(r.Sizes), floats(r.Values), figure(r.Slope), r.Unit, r.Fit)
	}
	b.WriteString("\n### At the size\n\n| role | resource | made up of | sum | limit | carried by |\n|---|---|---|---|---|---|\n")
	for _, s := range sums(byName) {
		limit := "none set"
		if s.Limit > 0 {
			limit = figure(s.Limit) + " " + s.Unit
		}
		if s.Over() {
			limit += " **over**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s %s | %s | %s |\n", s.Role, s.Resource, s.Terms, figure(s.Amount), s.Unit, limit, s.Mechanism)
	}
	return b.String()
}

func ints(list []int) string {
	var words []string
	for _, n := range list {
		words = append(words, fmt.Sprint(n))
	}
	return strings.Join(words, ", ")
}

func floats(list []float64) string {
	var words []string
	for _, v := range list {
		words = append(words, figure(v))
	}
	return strings.Join(words, ", ")
}

// figure prints three digits, and all of a number's that has more before its point.
func figure(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
