package queue

import (
	"math"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/rank"
)

// minShare is the least share of the service that a prediction counts on.
const minShare = 0.02

// wait predicts when a new request of the rank and workspace would start. It
// pours the work ahead of it over the times at which the slots come free.
func (q *Queue) wait(now time.Time, r rank.Rank, workspace string) time.Duration {
	levels := make([]float64, 0, q.slots)
	for _, it := range q.running {
		if q.displaceable(it, r) {
			levels = append(levels, 0)
		} else {
			levels = append(levels, float64(q.remaining(now, it)))
		}
	}
	for len(levels) < q.slots {
		levels = append(levels, 0)
	}
	slices.Sort(levels)
	work := q.workAhead(r, workspace) / q.available(now, r)
	return time.Duration(pour(levels, work))
}

// pour returns the level that work reaches over slots that are filled up to the
// given sorted levels.
func pour(levels []float64, work float64) float64 {
	for i := 1; i < len(levels); i++ {
		room := float64(i) * (levels[i] - levels[i-1])
		if work <= room {
			return levels[i-1] + work/float64(i)
		}
		work -= room
	}
	last := len(levels) - 1
	return levels[last] + work/float64(len(levels))
}

// workAhead is the expected run time of what is served before a new request:
// all that waits in higher ranks, and within the rank what fairness puts first.
func (q *Queue) workAhead(r rank.Rank, workspace string) float64 {
	var ahead float64
	for s := rank.Urgent; s < r; s++ {
		ahead += q.waitingWork(q.lanes[s])
	}
	l := q.lanes[r]
	target := l.virtual
	if f, _ := l.find(workspace); f != nil {
		target = math.Max(f.counter, l.virtual)
		for _, it := range f.waiting {
			target += q.cost(it) / f.weight
			ahead += float64(q.remainingWaiting(it))
		}
	}
	for _, f := range l.flows {
		if f.workspace != workspace {
			ahead += q.servedBefore(f, target)
		}
	}
	return ahead
}

// servedBefore is the run time of those requests of a workspace that start
// before its counter passes the target.
func (q *Queue) servedBefore(f *flow, target float64) float64 {
	counter, work := f.counter, 0.0
	for _, it := range f.waiting {
		if counter > target {
			break
		}
		counter += q.cost(it) / f.weight
		work += float64(q.remainingWaiting(it))
	}
	return work
}

func (q *Queue) waitingWork(l *lane) float64 {
	var work float64
	for _, f := range l.flows {
		for _, it := range f.waiting {
			work += float64(q.remainingWaiting(it))
		}
	}
	return work
}

func (q *Queue) remainingWaiting(it *item) time.Duration {
	return max(q.duration(it)-it.elapsed, 0)
}

// available is the share of the service that a rank can count on: what the
// higher ranks leave by their recent use, less the floors of lower ranks that
// wait, and never less than its own floor.
func (q *Queue) available(now time.Time, r rank.Rank) float64 {
	var total, higher float64
	for s, l := range q.lanes {
		use := l.use.read(now)
		total += use
		if rank.Rank(s) < r {
			higher += use
		}
	}
	share := 1.0
	if higher > 0 {
		share -= higher / math.Max(total, q.capacity())
	}
	for s := r + 1; s <= rank.Bulk; s++ {
		if q.lanes[s].waiting > 0 {
			share -= q.lanes[s].floor
		}
	}
	return max(share, q.lanes[r].floor, minShare)
}

// capacity is the run time that all slots give within the memory of the share
// of service by rank.
func (q *Queue) capacity() float64 {
	return float64(q.slots) * float64(useHalfLife) / math.Ln2
}

// Load returns the state of the server.
func (q *Queue) Load(now time.Time) Load {
	load := Load{Running: len(q.running), Slots: q.slots, Draining: q.draining}
	waiting := 0
	for r := rank.Urgent; r <= rank.Bulk; r++ {
		waiting += q.lanes[r].waiting
		load.Queued[r] = q.lanes[r].waiting
		load.Wait[r] = q.wait(now, r, "")
		load.Ahead[r] = waiting
		for _, it := range q.running {
			if !q.displaceable(it, r) {
				load.Ahead[r]++
			}
		}
	}
	return load
}
