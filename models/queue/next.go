package queue

import (
	"time"

	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
)

// Schedule returns what to do now, in this order: requests that can no longer meet
// their deadline end, running requests make way, and waiting requests start.
// Call it after each event, and at the time that Wake gives.
func (q *Queue) Schedule(now time.Time) []Action {
	actions := q.expire(now)
	for {
		it, owed := q.pick()
		if it == nil {
			return actions
		}
		if len(q.running) >= q.slots {
			victim := q.victim(it.Rank)
			if victim == nil {
				it, victim = q.unfair(it.Rank)
			}
			if victim == nil {
				return actions
			}
			q.displace(now, victim)
			actions = append(actions, Preempt{ID: victim.ID})
		}
		q.start(now, it, owed)
		actions = append(actions, Start{ID: it.ID, Resumed: it.resumed})
	}
}

// NextExpiry returns when the next waiting request may expire. ok is false when none
// can.
func (q *Queue) NextExpiry() (at time.Time, ok bool) {
	return q.expiry, !q.expiry.IsZero()
}

// pick returns the item to start next and whether its rank's floor calls for
// it. With all slots taken, only the most urgent rank counts, since a floor
// displaces nobody.
func (q *Queue) pick() (it *item, owed bool) {
	if q.order == Arrival {
		return q.oldest(), false
	}
	if len(q.running) < q.slots {
		if l := q.mostOwed(); l != nil {
			return q.front(l), true
		}
	}
	for _, l := range q.lanes {
		if l.waiting > 0 {
			return q.front(l), false
		}
	}
	return nil, false
}

func (q *Queue) front(l *lane) *item {
	if q.order == Fair {
		return l.fairest()
	}
	return l.oldest()
}

func (q *Queue) oldest() *item {
	var best *item
	for _, l := range q.lanes {
		if it := l.oldest(); it != nil && (best == nil || it.arrival < best.arrival) {
			best = it
		}
	}
	return best
}

// mostOwed returns the rank that lags most behind its floor, or nil.
func (q *Queue) mostOwed() *lane {
	var best *lane
	for _, l := range q.lanes {
		if l.waiting > 0 && l.floor > 0 && l.owed() > 0 && (best == nil || l.owed() > best.owed()) {
			best = l
		}
	}
	return best
}

func (q *Queue) start(now time.Time, it *item, owed bool) {
	l := q.lanes[it.Rank]
	l.remove(it)
	f, _ := l.find(it.Workspace)
	f.running = append(f.running, it)
	l.use.add(now, float64(q.remainingWaiting(it)))
	it.running, it.started, it.protected = true, now, owed
	q.running = append(q.running, it)
	q.charge(it, q.cost(it)-it.charged)
	it.booked = q.remainingWaiting(it)
	l.booked += it.booked
}

// displaceable says whether a waiting request of the rank may take a running
// item's slot.
func (q *Queue) displaceable(it *item, r rank.Rank) bool {
	return r <= q.preemptFrom && it.Rank > r && !it.NonPreemptible && !it.protected
}

// victim returns the running item to displace for the rank, or nil: of the
// lowest rank, the one that started last and so loses least.
func (q *Queue) victim(r rank.Rank) *item {
	if q.order == Arrival {
		return nil
	}
	var best *item
	for _, it := range q.running {
		if q.displaceable(it, r) && (best == nil || it.Rank > best.Rank ||
			it.Rank == best.Rank && !it.started.Before(best.started)) {
			best = it
		}
	}
	return best
}

// unfair returns a waiting item of the workspace that was served least, and a
// running one of the workspace that holds most slots, if the exchange brings
// their slots closer to their weights. So a small workspace need not wait for
// the end of another's requests. Urgent streams are never displaced, nor are
// those that gave no token yet.
func (q *Queue) unfair(r rank.Rank) (it, victim *item) {
	if q.order != Fair || r == rank.Urgent || !q.slotShares {
		return nil, nil
	}
	var poor, rich *flow
	for _, f := range q.lanes[r].flows {
		if len(f.waiting) > 0 && (poor == nil || f.counter < poor.counter) {
			poor = f
		}
		if rich == nil || f.holding(0) > rich.holding(0) {
			rich = f
		}
	}
	if poor == nil || poor.holding(1) > rich.holding(-1) || poor.counter > rich.settled() {
		return nil, nil
	}
	for _, running := range rich.running {
		if !running.NonPreemptible && !running.protected && running.served > 0 &&
			(victim == nil || !running.started.Before(victim.started)) {
			victim = running
		}
	}
	return poor.waiting[0], victim
}

func (q *Queue) displace(now time.Time, it *item) {
	q.release(now, it)
	it.resumed = true
	it.startBy = q.startBy(now, it)
	q.join(it)
}

// expire ends the waiting items whose latest start has passed.
func (q *Queue) expire(now time.Time) []Action {
	if q.expiry.IsZero() || !now.After(q.expiry) {
		return nil
	}
	var actions []Action
	q.expiry = time.Time{}
	for _, it := range q.waiting() {
		switch {
		case it.startBy.IsZero():
		case now.After(it.startBy):
			q.leave(now, it)
			err := q.refuse(now, it, refusal.DeadlineUnreachable, minReturn)
			if it.resumed {
				err.Outcome = refusal.Unknown
			}
			actions = append(actions, Expire{ID: it.ID, Err: err})
		case q.expiry.IsZero() || it.startBy.Before(q.expiry):
			q.expiry = it.startBy
		}
	}
	return actions
}
