// Package schedlag measures how long runnable goroutines wait for a processor, by how
// late a timer fires. It reports when the process has not run for a while.
package schedlag

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusline/crocusline/modules/uptime"
)

const (
	// interval is the time between two measurements.
	interval = 25 * time.Millisecond
	// minPause is the shortest delay that is reported as a pause.
	minPause = 250 * time.Millisecond
)

// Pause is a time in which the process did not run: it was stopped, lacked processor time, or the
// machine was suspended.
type Pause struct {
	// Delay is how late a timer fired, which doesn't include Suspended, the time for which the
	// machine was suspended.
	Delay, Suspended time.Duration
}

// Option configures a Meter.
type Option func(*Meter)

// WithOnPause sets the function that is called after each pause. It must not block.
func WithOnPause(f func(Pause)) Option { return func(m *Meter) { m.onPause = f } }

// WithSuspended sets the source of the time for which the machine was suspended.
func WithSuspended(suspended func() time.Duration) Option {
	return func(m *Meter) { m.suspended = suspended }
}

// Meter measures the delay until it is closed.
type Meter struct {
	// delay is the last measured delay, and due the time of the measurement in progress,
	// both in ns; due is relative to started.
	delay   atomic.Int64
	due     atomic.Int64
	started time.Time
	onPause func(Pause)
	// suspended returns the time for which the machine was suspended.
	suspended func() time.Duration
	stop      chan struct{}
	running   sync.WaitGroup
}

// New starts a Meter.
func New(opts ...Option) *Meter {
	m := &Meter{started: time.Now(), onPause: func(Pause) {}, suspended: uptime.Suspended, stop: make(chan struct{})}
	for _, opt := range opts {
		opt(m)
	}
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
	suspended := m.suspended()
	for {
		select {
		case <-timer.C:
		case <-m.stop:
			return
		}
		now := time.Since(m.started)
		p := Pause{Delay: now - time.Duration(m.due.Load()), Suspended: -suspended}
		suspended = m.suspended()
		p.Suspended += suspended
		m.delay.Store(int64(p.Delay))
		m.due.Store(int64(now + interval))
		if p.Delay+p.Suspended >= minPause {
			m.onPause(p)
		}
		timer.Reset(interval)
	}
}
