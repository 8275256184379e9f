// Package capacity measures what crocusline's parts cost at several sizes, and
// works out from the slopes what each role needs at the size that the project is
// designed for.
package capacity

import (
	"context"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Measure is one cost, taken at several sizes.
type Measure struct {
	// Name identifies the measure in sums.
	Name string
	// What says what is counted, such as "heap of the fleet state".
	What string
	// Unit is the unit of the cost, such as "B".
	Unit string
	// Per is what the size counts, such as "workspace".
	Per   string
	Sizes []int
	// Sample returns the cost at a size.
	Sample func(ctx context.Context, size int) (float64, error)
}

// Result is a measure's samples and the line through them.
type Result struct {
	Measure
	Values []float64
	// Slope is the cost of one more.
	Slope float64
	// Base is the cost at size 0, as far as the line goes.
	Base float64
	// Fit is the coefficient of determination, 1 where all samples lie on the line.
	Fit float64
}

// run takes the samples.
func (m Measure) run(ctx context.Context) (Result, error) {
	r := Result{Measure: m}
	var sizes []float64
	for _, size := range m.Sizes {
		value, err := m.Sample(ctx, size)
		if err != nil {
			return r, err
		}
		sizes = append(sizes, float64(size))
		r.Values = append(r.Values, value)
	}
	r.Base, r.Slope = stat.LinearRegression(sizes, r.Values, nil, false)
	r.Fit = stat.RSquared(sizes, r.Values, nil, r.Base, r.Slope)
	return r, nil
}

// heapOf returns the heap, in bytes, that what build returns keeps alive.
func heapOf(build func() (any, error)) (float64, error) {
	before := liveHeap()
	kept, err := build()
	if err != nil {
		return 0, err
	}
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before), nil
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// timeOf returns the time, in microseconds, of the fastest of several calls.
func timeOf(f func()) float64 {
	const tries = 7
	best := time.Duration(1<<63 - 1)
	for range tries {
		started := time.Now()
		f()
		best = min(best, time.Since(started))
	}
	return float64(best) / float64(time.Microsecond)
}
