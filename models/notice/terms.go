package notice

import (
	"time"

	"github.com/crocusline/crocusline/models/slowstart"
)

const (
	// shareTTL is how long a share is used before it is determined again.
	shareTTL = 250 * time.Millisecond
	// burstTime is the time for which a gateway may save up its share of a large limit.
	burstTime = 250 * time.Millisecond
	// settleTime is how long a gateway waits that takes the share of another one of a quota of which
	// each second counts: the other one stops within learnTime, and has sent nothing in the second before
	// the first request of this one.
	settleTime = time.Second + learnTime
	// refusedRetry is the time after which callers return to a server that takes no requests at all.
	refusedRetry = time.Second
	// oneRequest is a whole request, less what rounding may lose.
	oneRequest = 1 - 1e-9
)

// terms are those under which a server takes requests.
type terms struct {
	// backoffUntil is the end of the backoff that the server asked for.
	backoffUntil time.Time
	// limit is in requests per second of all gateways, or 0 if the server names none.
	limit float64
	// namedAt is when the limit was last known to be named.
	namedAt time.Time
	// own is whether the limit, or its end, was learned from a response to this gateway, at
	// observedAt.
	own        bool
	observedAt time.Time
	// shared is the limit that the other gateways know from the store, and publishedAt when this
	// gateway wrote to the store last.
	shared      float64
	publishedAt time.Time
	// listedAt is when the server was last known to be listed.
	listedAt time.Time
	cold     coldTerms
	// start is the window of a slow start, or nil, and wasCold whether the server was cold when it was
	// last listed.
	start   *slowstart.Window
	wasCold bool
	bucket
}

// bucket is a token bucket of the gateway's share of a limit.
type bucket struct {
	share    Share
	sharedAt time.Time
	// level is the number of requests that may be sent at updatedAt.
	level     float64
	updatedAt time.Time
}

// setLimit sets the limit. A gateway that begins to keep to one starts with its place among the
// sharers, so that they don't all send at once. The limit of a cold server goes on meanwhile.
func (t *terms) setLimit(now time.Time, limit float64) {
	if (t.limit == 0 || limit == 0) && !t.isCold(now) {
		t.bucket = bucket{}
	}
	t.sharedAt = time.Time{}
	t.limit = limit
}

// quota returns what the server allows now.
func (t *terms) quota(now time.Time) quota {
	var q quota
	if t.limit > 0 {
		q = namedQuota(t.limit)
	}
	if t.isCold(now) {
		q = q.and(t.cold.quota)
	}
	return q
}

// update adds what the share allows since the last update.
func (b *bucket) update(now time.Time, f *Fleet, server string, q quota) {
	first := b.updatedAt.IsZero()
	if first || now.After(b.updatedAt) {
		if !first {
			b.level += b.share.Rate * now.Sub(b.updatedAt).Seconds()
		}
		b.updatedAt = now
	}
	if b.sharedAt.IsZero() || now.Sub(b.sharedAt) >= shareTTL {
		b.setShare(now, f, server, q, first)
	}
	b.level = min(b.level, q.saved(b.share))
}

// setShare determines the share. What a gateway without a share had saved up is void.
func (b *bucket) setShare(now time.Time, f *Fleet, server string, q quota, first bool) {
	before := b.share
	b.sharedAt = now
	b.share = Share{Rate: q.rate, Sharers: 1}
	if f != nil {
		b.share = f.Share(now, server, q)
	}
	switch {
	case b.share.Rate == 0:
		b.level = 0
	case first:
		b.level = float64(b.share.Rank) / float64(b.share.Sharers)
		if f != nil && q.exact() {
			b.holdUntil(f.knownAt.Add(settleTime))
		}
	case before.Rate == 0 && q.exact():
		b.holdUntil(now.Add(settleTime))
	}
}

// holdUntil delays what the share allows until the time.
func (b *bucket) holdUntil(at time.Time) {
	if at.After(b.updatedAt) {
		b.updatedAt = at
	}
}

// wait returns the time until this gateway may send a request or, if it has no share, until another
// one may.
func (b *bucket) wait(now time.Time, q quota) time.Duration {
	switch {
	case q.unlimited() || b.level >= oneRequest:
		return 0
	case q.rate == 0:
		return refusedRetry
	case b.share.Rate == 0:
		return time.Duration(float64(time.Second) / q.rate)
	default:
		return max(0, b.updatedAt.Sub(now)) + time.Duration((1-b.level)/b.share.Rate*float64(time.Second))
	}
}
