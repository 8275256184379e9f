package queue

import (
	"math"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
)

// unlimited is the permitted wait of a request without limits.
const unlimited = time.Duration(math.MaxInt64)

// admit returns the predicted wait of a request, or why it is refused.
func (q *Queue) admit(now time.Time, it *item) (time.Duration, error) {
	l := q.lanes[it.Rank]
	wait := q.wait(now, it.Rank, it.Workspace)
	// What starts at once takes no room in the queue.
	startsNow := wait == 0 && l.waiting == 0
	if !startsNow && !hasShare(l.waitingOf(it.Workspace), l.waiting, q.limit) {
		return 0, q.refuse(now, it, refusal.QueueFull, wait)
	}
	if !it.Deadline.IsZero() && !it.Deadline.After(now) {
		return 0, refusal.New(refusal.DeadlineExpired, 0, "the deadline has passed")
	}
	// With none of its kind here, a request runs whatever is expected of it, so
	// that the expectation can be corrected.
	if !q.predict || q.present[it.Kind] == 0 && wait == 0 {
		return wait, nil
	}
	permitted := q.permittedWait(now, it)
	if permitted < 0 {
		return 0, refusal.New(refusal.DeadlineUnreachable, 0, "allow more time for the answer")
	}
	if wait > permitted {
		return 0, q.refuse(now, it, refusal.DeadlineUnreachable, wait-permitted)
	}
	if startsNow {
		return 0, nil
	}
	if over := q.overShare(now, it, permitted); over > 0 {
		return 0, q.refuse(now, it, refusal.ShareExceeded, over)
	}
	return wait, nil
}

// permittedWait is how long a request may wait and still be answered in time.
func (q *Queue) permittedWait(now time.Time, it *item) time.Duration {
	permitted := unlimited
	if limit := q.lanes[it.Rank].waitLimit; limit > 0 {
		permitted = limit
	}
	if !it.Deadline.IsZero() {
		permitted = min(permitted, it.Deadline.Sub(now)-q.remaining(now, it))
	}
	return permitted
}

// startBy is the latest start that still meets the limits. The limit on the
// wait holds for the first start only.
func (q *Queue) startBy(now time.Time, it *item) time.Time {
	var by time.Time
	if !it.Deadline.IsZero() {
		by = it.Deadline.Add(-q.remaining(now, it))
		if by.Before(now) {
			by = it.Deadline
		}
	}
	limit := q.lanes[it.Rank].waitLimit
	if limit > 0 && !it.resumed && (by.IsZero() || now.Add(limit).Before(by)) {
		by = now.Add(limit)
	}
	return by
}

// headroom is how much of a queue a workspace may hold, relative to the part
// that is free. So one workspace alone takes two thirds, and one that holds
// little always finds room beside others that ask for much.
const headroom = 2

// hasShare says whether a workspace that holds own of the total may add to it.
func hasShare(own, total, limit int) bool {
	return total < limit && own <= headroom*(limit-total)
}

// overShare is by how much a request's kind would exceed its share of the
// queue, or its workspace its part of that share, as the time until it no longer
// does. 0 is within the share.
func (q *Queue) overShare(now time.Time, it *item, permitted time.Duration) time.Duration {
	share := q.share(it)
	if share >= 1 {
		return 0
	}
	var own, all backlog
	for _, f := range q.lanes[it.Rank].flows {
		for _, other := range f.waiting {
			if other.Kind != it.Kind {
				continue
			}
			all.add(q.remainingWaiting(other))
			if f.workspace == it.Workspace {
				own.add(q.remainingWaiting(other))
			}
		}
	}
	rate := float64(q.slots) * q.available(now, it.Rank)
	wait, ownWait := time.Duration(all.work/rate), time.Duration(own.work/rate)
	if !hasShare(own.count, all.count, int(math.Ceil(share*float64(q.limit)))) {
		return max(wait/time.Duration(all.count+1), minReturn)
	}
	if permitted == unlimited {
		return 0
	}
	return max(wait+ownWait/headroom-time.Duration(share*float64(permitted)), 0)
}

// share is the part of the queue that an item's kind may take.
func (q *Queue) share(it *item) float64 {
	if it.Share > 0 {
		return it.Share
	}
	if share, ok := q.kindShares[it.Kind]; ok {
		return share
	}
	return q.kindShare
}

// backlog counts waiting requests and their expected run time.
type backlog struct {
	count int
	work  float64
}

func (b *backlog) add(d time.Duration) {
	b.count++
	b.work += float64(d)
}

// refuse makes the refusal of a request that could run once the backlog has
// shrunk by some time. Callers refused in a row get times one after the other,
// at the pace at which the server works, so that they do not come back at once.
func (q *Queue) refuse(now time.Time, it *item, reason refusal.Reason, over time.Duration) *refusal.Error {
	l := q.lanes[it.Rank]
	pace := float64(q.duration(it)) / float64(q.slots) / q.available(now, it.Rank)
	earliest := now.Add(max(over, minReturn))
	if l.returns.Before(earliest) {
		l.returns = earliest
	}
	after := min(l.returns.Sub(now), MaxRetryAfter)
	l.returns = now.Add(min(after+time.Duration(pace), MaxRetryAfter))
	return refusal.New(reason, after, "the server is busy: come back after the given time")
}
