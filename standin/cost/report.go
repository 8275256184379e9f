package cost

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// quantiles are the reported quantiles of times, in percent.
var quantiles = []float64{50, 95}

// write writes the report of both workloads. Each pair is the direct measurement,
// then the one through entry and sidecar.
func write(out io.Writer, long, short [2]measurement) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "measure\tengine, direct\tengine, path\tentry\tsidecar\tentry+sidecar / engine, direct")
	cpuRow(t, "processor time per token", long, long[0].tokens)
	cpuRow(t, fmt.Sprintf("processor time per request of %.1f tokens", float64(short[0].tokens)/float64(short[0].requests)), short, short[0].requests)
	allocationRow(t, "allocations per token", long, long[0].tokens)
	fmt.Fprintln(t, "\t\t\t\t\t")
	fmt.Fprintln(t, "measure\tdirect\tpath\tpath - direct\t\t")
	for _, q := range quantiles {
		timeRow(t, fmt.Sprintf("time to first token, p%g", q), long[0].firstToken, long[1].firstToken, q)
		timeRow(t, fmt.Sprintf("time between messages, p%g", q), long[0].betweenMessages, long[1].betweenMessages, q)
	}
	fmt.Fprintf(t, "tokens per message\t%.2f\t%.2f\t\t\t\n", long[0].tokensPerMessage(), long[1].tokensPerMessage())
	return errors.WithStack(t.Flush())
}

// tokensPerMessage returns the mean number of tokens per message.
func (m measurement) tokensPerMessage() float64 {
	return float64(m.tokens) / float64(m.firstToken.TotalCount()+m.betweenMessages.TotalCount())
}

func cpuRow(out io.Writer, name string, pair [2]measurement, n int) {
	per := func(m measurement, process string) float64 {
		return float64(m.usage[process].cpu) / float64(time.Microsecond) / float64(n)
	}
	row(out, name, "us", pair, per)
}

func allocationRow(out io.Writer, name string, pair [2]measurement, n int) {
	per := func(m measurement, process string) float64 {
		return m.usage[process].allocations / float64(n)
	}
	row(out, name, "", pair, per)
}

// row writes one figure for each process, and the ratio of the entry and sidecar to
// the engine called directly.
func row(out io.Writer, name, unit string, pair [2]measurement, per func(m measurement, process string) float64) {
	direct := per(pair[0], engineName)
	entry, sidecar := per(pair[1], entryName), per(pair[1], sidecarName)
	fmt.Fprintf(out, "%s\t%.1f %s\t%.1f %s\t%.1f %s\t%.1f %s\t%.2f\n", name,
		direct, unit, per(pair[1], engineName), unit, entry, unit, sidecar, unit, (entry+sidecar)/direct)
}

func timeRow(out io.Writer, name string, direct, path *hdrhistogram.Histogram, q float64) {
	d, p := direct.ValueAtQuantile(q), path.ValueAtQuantile(q)
	fmt.Fprintf(out, "%s\t%d us\t%d us\t%d us\t\t\n", name, d, p, p-d)
}
