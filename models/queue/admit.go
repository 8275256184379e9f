package queue

import (
	"math"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
)

// unlimited is the permitted wait of a request without limits.
const unlimited = time.Duration(math.MaxInt64)

// admit returns the predicted wait of a request, or the error that refuses it.
func (q *Queue) admit(now time.Time, it *item) (time.Duration, error) {
	rq := q.ranks[it.Rank]
	wait := q.predictWait(now, it.Rank, it.Workspace)
	// A request that starts immediately does not occupy the queue.
	startsNow := wait == 0 && rq.waiting == 0
	if !startsNow && !withinLimit(rq.waitingOf(it.Workspace), rq.waiting, q.queueLength) {
		return 0, q.refuse(now, it, refusal.QueueFull, wait)
	}
	if !it.Deadline.IsZero() && !it.Deadline.After(now) {
		return 0, refusal.New(refusal.DeadlineExpired, 0, "the deadline has passed")
	}
	// If no request of its kind is waiting or running, a request that can start
	// immediately is accepted whatever its expected run time, so that the estimate
	// can be corrected.
	if !q.predict || q.countByKind[it.Kind] == 0 && wait == 0 {
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
	if over := q.shareExcess(now, it, permitted); over > 0 {
		return 0, q.refuse(now, it, refusal.ShareExceeded, over)
	}
	return wait, nil
}

// permittedWait returns how long a request may wait and still be completed in time.
func (q *Queue) permittedWait(now time.Time, it *item) time.Duration {
	permitted := unlimited
	if limit := q.ranks[it.Rank].waitLimit; limit > 0 {
		permitted = limit
	}
	if !it.Deadline.IsZero() {
		permitted = min(permitted, it.Deadline.Sub(now)-q.remaining(now, it))
	}
	return permitted
}

// startBy returns the latest start time that meets the limits. The limit on the
// wait applies to the first start only.
func (q *Queue) startBy(now time.Time, it *item) time.Time {
	var by time.Time
	if !it.Deadline.IsZero() {
		by = it.Deadline.Add(-q.remaining(now, it))
		if by.Before(now) {
			by = it.Deadline
		}
	}
	limit := q.ranks[it.Rank].waitLimit
	if limit > 0 && !it.resumed && (by.IsZero() || now.Add(limit).Before(by)) {
		by = now.Add(limit)
	}
	return by
}

// thresholdFactor limits the queued requests of a workspace to a multiple of the
// free part of the queue (a dynamic threshold). With a factor of 2, a single
// workspace can fill two thirds of the queue, and a workspace with few requests
// always finds room beside others with high demand.
const thresholdFactor = 2

// withinLimit reports whether a workspace that has own of the total waiting
// requests may add another one.
func withinLimit(own, total, limit int) bool {
	return total < limit && own <= thresholdFactor*(limit-total)
}

// shareExcess returns by how much a request would exceed the share of the queue
// that its kind may use, or its workspace's part of that share. The excess is given
// as the time until there is room for the request; 0 means that it fits.
func (q *Queue) shareExcess(now time.Time, it *item, permitted time.Duration) time.Duration {
	share := q.kindShareOf(it)
	if share >= 1 {
		return 0
	}
	var own, all backlog
	for _, f := range q.ranks[it.Rank].flows {
		for _, other := range f.waiting {
			if other.Kind != it.Kind {
				continue
			}
			all.add(q.queuedRunTime(other))
			if f.workspace == it.Workspace {
				own.add(q.queuedRunTime(other))
			}
		}
	}
	rate := float64(q.slots) * q.availableShare(now, it.Rank)
	wait, ownWait := time.Duration(all.work/rate), time.Duration(own.work/rate)
	if !withinLimit(own.count, all.count, int(math.Ceil(share*float64(q.queueLength)))) {
		return max(wait/time.Duration(all.count+1), minRetryAfter)
	}
	if permitted == unlimited {
		return 0
	}
	return max(wait+ownWait/thresholdFactor-time.Duration(share*float64(permitted)), 0)
}

// kindShareOf returns the share of the queue that an item's kind may use.
func (q *Queue) kindShareOf(it *item) float64 {
	if it.Share > 0 {
		return it.Share
	}
	if share, ok := q.kindShares[it.Kind]; ok {
		return share
	}
	return q.kindShare
}

// backlog is a number of waiting requests and their expected run time.
type backlog struct {
	count int
	work  float64
}

func (b *backlog) add(d time.Duration) {
	b.count++
	b.work += float64(d)
}

// refuse returns the refusal of a request that could be accepted once the backlog
// has shrunk by the given time. Callers that are refused in succession get
// successive retry times, spaced by the time in which the server completes one
// request, so that they do not retry simultaneously.
func (q *Queue) refuse(now time.Time, it *item, reason refusal.Reason, over time.Duration) *refusal.Error {
	rq := q.ranks[it.Rank]
	interval := float64(q.expectedRunTime(it)) / float64(q.slots) / q.availableShare(now, it.Rank)
	earliest := now.Add(max(over, minRetryAfter))
	if rq.lastRetry.Before(earliest) {
		rq.lastRetry = earliest
	}
	after := min(rq.lastRetry.Sub(now), MaxRetryAfter)
	rq.lastRetry = now.Add(min(after+time.Duration(interval), MaxRetryAfter))
	return refusal.New(reason, after, "the server is busy: come back after the given time")
}
