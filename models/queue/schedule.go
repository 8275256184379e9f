package queue

import (
	"time"

	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
)

// Schedule returns the actions to execute now: first the waiting requests that can
// no longer meet their deadline expire, then running requests are preempted and
// waiting requests started. Call it after each event and at the time that
// NextExpiry returns.
func (q *Queue) Schedule(now time.Time) []Action {
	actions := q.expire(now)
	for {
		it, forFloor := q.pick()
		if it == nil {
			return actions
		}
		if len(q.running) >= q.slots {
			victim := q.victim(it.Rank)
			if victim == nil {
				it, victim = q.fairPreemptionPair(it.Rank)
			}
			if victim == nil {
				return actions
			}
			q.preempt(now, victim)
			actions = append(actions, Preempt{ID: victim.ID})
		}
		q.start(now, it, forFloor)
		actions = append(actions, Start{ID: it.ID, Resumed: it.resumed})
	}
}

// NextExpiry returns when the next waiting request may expire. ok is false if none
// can.
func (q *Queue) NextExpiry() (at time.Time, ok bool) {
	return q.nextExpiry, !q.nextExpiry.IsZero()
}

// pick returns the item to start next, and whether it is started to meet the floor
// of its rank. When all slots are occupied, only the highest waiting rank is
// considered, since floors do not cause preemption.
func (q *Queue) pick() (it *item, forFloor bool) {
	if q.order == Arrival {
		return q.oldest(), false
	}
	if len(q.running) < q.slots {
		if rq := q.largestDeficit(); rq != nil {
			return q.nextOf(rq), true
		}
	}
	for _, rq := range q.ranks {
		if rq.waiting > 0 {
			return q.nextOf(rq), false
		}
	}
	return nil, false
}

func (q *Queue) nextOf(rq *rankQueue) *item {
	if q.order == Fair {
		return rq.lowestCounter()
	}
	return rq.oldest()
}

func (q *Queue) oldest() *item {
	var best *item
	for _, rq := range q.ranks {
		if it := rq.oldest(); it != nil && (best == nil || it.sequence < best.sequence) {
			best = it
		}
	}
	return best
}

// largestDeficit returns the rank that is furthest below its floor and has waiting
// requests, or nil.
func (q *Queue) largestDeficit() *rankQueue {
	var best *rankQueue
	for _, rq := range q.ranks {
		if rq.waiting > 0 && rq.floor > 0 && rq.floorDeficit() > 0 && (best == nil || rq.floorDeficit() > best.floorDeficit()) {
			best = rq
		}
	}
	return best
}

func (q *Queue) start(now time.Time, it *item, forFloor bool) {
	rq := q.ranks[it.Rank]
	rq.remove(it)
	f, _ := rq.find(it.Workspace)
	f.running = append(f.running, it)
	rq.recentUse.add(now, float64(q.queuedRunTime(it)))
	it.running, it.started, it.protected = true, now, forFloor
	q.running = append(q.running, it)
	q.charge(it, q.cost(it)-it.charged)
	it.expectedRun = q.queuedRunTime(it)
	rq.expectedRun += it.expectedRun
}

// preemptible reports whether a waiting request of the rank may preempt a running
// item.
func (q *Queue) preemptible(it *item, r rank.Rank) bool {
	return r <= q.lowestPreempting && it.Rank > r && !it.NonPreemptible && !it.protected
}

// victim returns the running item to preempt for the rank, or nil. It selects from
// the lowest rank the item that started last, which loses the least work.
func (q *Queue) victim(r rank.Rank) *item {
	if q.order == Arrival {
		return nil
	}
	var best *item
	for _, it := range q.running {
		if q.preemptible(it, r) && (best == nil || it.Rank > best.Rank ||
			it.Rank == best.Rank && !it.started.Before(best.started)) {
			best = it
		}
	}
	return best
}

// fairPreemptionPair returns a waiting item of the least served workspace and a
// running item of the workspace with the most slots for its weight, if exchanging
// them brings the slots closer to the weights. This way a small workspace does not
// have to wait until long requests of another one end. Urgent requests are never
// preempted, nor are requests that have not generated a token yet.
func (q *Queue) fairPreemptionPair(r rank.Rank) (it, victim *item) {
	if q.order != Fair || r == rank.Urgent || !q.fairPreemption {
		return nil, nil
	}
	var underserved, overserved *flow
	for _, f := range q.ranks[r].flows {
		if len(f.waiting) > 0 && (underserved == nil || f.counter < underserved.counter) {
			underserved = f
		}
		if overserved == nil || f.slotsPerWeight(0) > overserved.slotsPerWeight(0) {
			overserved = f
		}
	}
	if underserved == nil || underserved.slotsPerWeight(1) > overserved.slotsPerWeight(-1) || underserved.counter > overserved.settledCounter() {
		return nil, nil
	}
	for _, running := range overserved.running {
		if !running.NonPreemptible && !running.protected && running.generated > 0 &&
			(victim == nil || !running.started.Before(victim.started)) {
			victim = running
		}
	}
	return underserved.waiting[0], victim
}

func (q *Queue) preempt(now time.Time, it *item) {
	q.release(now, it)
	it.resumed = true
	it.startBy = q.startBy(now, it)
	q.insert(it)
}

// expire removes the waiting items whose latest start time has passed.
func (q *Queue) expire(now time.Time) []Action {
	if q.nextExpiry.IsZero() || !now.After(q.nextExpiry) {
		return nil
	}
	var actions []Action
	q.nextExpiry = time.Time{}
	for _, it := range q.waiting() {
		switch {
		case it.startBy.IsZero():
		case now.After(it.startBy):
			q.remove(now, it)
			err := q.refuse(now, it, refusal.DeadlineUnreachable, minRetryAfter)
			if it.resumed {
				err.Outcome = refusal.Unknown
			}
			actions = append(actions, Expire{ID: it.ID, Err: err})
		case q.nextExpiry.IsZero() || it.startBy.Before(q.nextExpiry):
			q.nextExpiry = it.startBy
		}
	}
	return actions
}
