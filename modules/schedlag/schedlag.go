// Package schedlag measures how long runnable goroutines wait for a processor, by how
// late a timer fires.
package schedlag

import (
	"sync"
	"sync/atomic"
	"time"
)

// interval is the time between two measurements.
const interval = 25 * time.Millisecond

// Meter measures the delay until it is closed.
type Meter struct {
	// delay is the last measured delay, and due the time of the measurement in progress,
	// both in ns; due is relative to started.
	delay   atomic.Int64
	due     atomic.Int64
	started time.Time
	stop    chan struct{}
	running sync.WaitGroup
}

// New starts a Meter.
func New() *Meter {
	m := &Meter{started: time.Now(), stop: make(chan struct{})}
	m.due.Store(int64(interval))
	m.running.Go(m.run)
	return m
}

// Delay returns the delay measured last, or that of the measurement in progress if it is
// longer.
func (m *Meter) Delay() time.Duration {
	overdue := time.Since(m.started) - time.Duration(m.due.Load())
	return max(time.Duration(m.delay.Load()), overdue)
}

// Close stops the measurements.
func (m *Meter) Close() error {
	close(m.stop)
	m.running.Wait()
	return nil
}

func (m *Meter) run() {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-m.stop:
			return
		}
		now := time.Since(m.started)
		m.delay.Store(int64(now) - m.due.Load())
		m.due.Store(int64(now + interval))
		timer.Reset(interval)
	}
}
