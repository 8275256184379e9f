package load

import (
	"container/heap"
	"time"
)

// startTime is the virtual time at which each run begins.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs events in the order of their times, and events with the same time in
// the order in which they were scheduled.
type clock struct {
	now       time.Time
	events    events
	scheduled uint64
}

type event struct {
	at  time.Time
	seq uint64
	fn  func()
}

// after runs fn once the duration has passed.
func (c *clock) after(d time.Duration, fn func()) { c.at(c.now.Add(d), fn) }

func (c *clock) at(at time.Time, fn func()) {
	c.scheduled++
	heap.Push(&c.events, event{at: at, seq: c.scheduled, fn: fn})
}

// runUntil runs all events up to and including the end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e, _ := heap.Pop(&c.events).(event)
		c.now = e.at
		e.fn()
	}
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

func (e *events) Push(x any) {
	ev, _ := x.(event)
	*e = append(*e, ev)
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
