package queue

import (
	"math"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/rank"
)

// minShare is the lowest share of the service that predictions assume.
const minShare = 0.02

// predictWait predicts the time until a new request of the rank and workspace
// starts. It distributes the work ahead of the request over the slots, starting at
// the times at which they become free.
func (q *Queue) predictWait(now time.Time, r rank.Rank, workspace string) time.Duration {
	freeAt := make([]float64, 0, q.slots)
	for _, it := range q.running {
		if q.preemptible(it, r) {
			freeAt = append(freeAt, 0)
		} else {
			freeAt = append(freeAt, float64(q.remaining(now, it)))
		}
	}
	for len(freeAt) < q.slots {
		freeAt = append(freeAt, 0)
	}
	slices.Sort(freeAt)
	work := q.workAhead(r, workspace) / q.availableShare(now, r)
	return time.Duration(waterFill(freeAt, work))
}

// waterFill returns the level that is reached when work is distributed over slots
// that are filled to the given sorted levels, the emptiest first.
func waterFill(levels []float64, work float64) float64 {
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

// workAhead returns the expected run time of the requests that are served before a
// new request: all that wait in higher ranks, and in the same rank those that fair
// queueing serves first.
func (q *Queue) workAhead(r rank.Rank, workspace string) float64 {
	var ahead float64
	for s := rank.Urgent; s < r; s++ {
		ahead += q.queuedWork(q.ranks[s])
	}
	rq := q.ranks[r]
	target := rq.virtualTime
	if f, _ := rq.find(workspace); f != nil {
		target = math.Max(f.counter, rq.virtualTime)
		for _, it := range f.waiting {
			target += q.cost(it) / f.weight
			ahead += float64(q.queuedRunTime(it))
		}
	}
	for _, f := range rq.flows {
		if f.workspace != workspace {
			ahead += q.servedBefore(f, target)
		}
	}
	return ahead
}

// servedBefore returns the expected run time of a workspace's requests that start
// before its counter exceeds the target.
func (q *Queue) servedBefore(f *flow, target float64) float64 {
	counter, work := f.counter, 0.0
	for _, it := range f.waiting {
		if counter > target {
			break
		}
		counter += q.cost(it) / f.weight
		work += float64(q.queuedRunTime(it))
	}
	return work
}

// queuedWork returns the expected run time of the waiting requests of a rank.
func (q *Queue) queuedWork(rq *rankQueue) float64 {
	var work float64
	for _, f := range rq.flows {
		for _, it := range f.waiting {
			work += float64(q.queuedRunTime(it))
		}
	}
	return work
}

// queuedRunTime returns the expected run time that a waiting item still needs.
func (q *Queue) queuedRunTime(it *item) time.Duration {
	return max(q.expectedRunTime(it)-it.elapsed, 0)
}

// availableShare returns the share of the service that is available to a rank: what
// the higher ranks leave according to their recent use, less the floors of lower
// ranks with waiting requests, and at least the rank's own floor.
func (q *Queue) availableShare(now time.Time, r rank.Rank) float64 {
	var total, higher float64
	for s, rq := range q.ranks {
		use := rq.recentUse.read(now)
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
		if q.ranks[s].waiting > 0 {
			share -= q.ranks[s].floor
		}
	}
	return max(share, q.ranks[r].floor, minShare)
}

// capacity returns the sum of the ranks' recentUse while all slots are in use.
func (q *Queue) capacity() float64 {
	return float64(q.slots) * float64(useHalfLife) / math.Ln2
}

// Load returns a snapshot of the server's load.
func (q *Queue) Load(now time.Time) Load {
	load := Load{Running: len(q.running), Slots: q.slots, Draining: q.draining}
	waiting := 0
	for r := rank.Urgent; r <= rank.Bulk; r++ {
		waiting += q.ranks[r].waiting
		load.Queued[r] = q.ranks[r].waiting
		load.Wait[r] = q.predictWait(now, r, "")
		load.Ahead[r] = waiting
		for _, it := range q.running {
			if !q.preemptible(it, r) {
				load.Ahead[r]++
			}
		}
	}
	return load
}
