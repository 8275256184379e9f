// Package capacity measures the resource costs of crocusline's components at
// several sizes, and computes from the slopes what each role needs at the design
// size.
package capacity

import (
	"context"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Measure is a cost that is sampled at several sizes.
type Measure struct {
	// Name identifies the measure in requirements.
	Name string
	// Quantity is the measured quantity, such as "heap of the fleet state".
	Quantity string
	// Unit is the unit of the cost, such as "B".
	Unit string
	// Item is the item that the size counts, such as "workspace".
	Item  string
	Sizes []int
	// Sample returns the cost at a size.
	Sample func(ctx context.Context, size int) (float64, error)
}

// Result holds a measure's samples and their linear regression.
type Result struct {
	Measure
	Samples []float64
	// Slope is the cost of one additional item.
	Slope float64
	// Intercept is the cost at size 0 according to the regression.
	Intercept float64
	// RSquared is the coefficient of determination, which is 1 if all samples lie on
	// the line.
	RSquared float64
}

// sample takes the samples and fits the line.
func (m Measure) sample(ctx context.Context) (Result, error) {
	r := Result{Measure: m}
	var sizes []float64
	for _, size := range m.Sizes {
		value, err := m.Sample(ctx, size)
		if err != nil {
			return r, err
		}
		sizes = append(sizes, float64(size))
		r.Samples = append(r.Samples, value)
	}
	r.Intercept, r.Slope = stat.LinearRegression(sizes, r.Samples, nil, false)
	r.RSquared = stat.RSquared(sizes, r.Samples, nil, r.Intercept, r.Slope)
	return r, nil
}

// heapSize returns the heap, in bytes, that is retained by the value that build
// returns.
func heapSize(build func() (any, error)) (float64, error) {
	before := liveHeap()
	value, err := build()
	if err != nil {
		return 0, err
	}
	after := liveHeap()
	runtime.KeepAlive(value)
	return float64(after) - float64(before), nil
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// minMicroseconds returns the shortest duration of several calls in microseconds.
func minMicroseconds(f func()) float64 {
	const attempts = 7
	fastest := time.Duration(1<<63 - 1)
	for range attempts {
		started := time.Now()
		f()
		fastest = min(fastest, time.Since(started))
	}
	return float64(fastest) / float64(time.Microsecond)
}
