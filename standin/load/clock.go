package load

import (
	"container/heap"
	"time"
)

// start is the virtual time at which each run begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs events in the order of their times, those of one time in the order
// in which they were made.
type clock struct {
	now    time.Time
	events events
	made   uint64
}

type event struct {
	at   time.Time
	made uint64
	do   func()
}

// after runs do once the duration has passed.
func (c *clock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

func (c *clock) at(at time.Time, do func()) {
	c.made++
	heap.Push(&c.events, event{at: at, made: c.made, do: do})
}

// play runs all events up to the end.
func (c *clock) play(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e, _ := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].made < e[j].made
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
