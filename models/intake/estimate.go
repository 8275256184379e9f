package intake

import (
	"math"
	"time"
)

// backlog estimates how many bytes wait for a link that carries bytesPerSecond, 0 if unknown.
type backlog struct {
	bytesPerSecond float64
	// queued is the number of bytes that were added and not yet carried at updatedAt.
	queued    float64
	updatedAt time.Time
}

func (b *backlog) update(now time.Time) {
	b.queued = max(0, b.queued-max(0, now.Sub(b.updatedAt)).Seconds()*b.bytesPerSecond)
	b.updatedAt = now
}

func (b *backlog) add(now time.Time, size int64) {
	b.update(now)
	b.queued += float64(max(0, size))
}

// delay returns how long a byte waits now.
func (b *backlog) delay(now time.Time) time.Duration {
	if b.bytesPerSecond == 0 {
		return 0
	}
	b.update(now)
	return time.Duration(b.queued / b.bytesPerSecond * float64(time.Second))
}

// rate tells whether a link of bytesPerSecond, 0 if unknown, is saturated: whether it carries the part begin of that,
// until it carries less than the part end, averaged over rateTimeConstant.
type rate struct {
	bytesPerSecond float64
	begin, end     float64
	// carried is the decayed number of bytes at updatedAt.
	carried   float64
	updatedAt time.Time
	saturated bool
}

func (r *rate) update(now time.Time) {
	r.carried *= math.Exp(-max(0, now.Sub(r.updatedAt)).Seconds() / rateTimeConstant.Seconds())
	r.updatedAt = now
}

func (r *rate) add(now time.Time, size int64) {
	r.update(now)
	r.carried += float64(max(0, size))
}

func (r *rate) isSaturated(now time.Time) bool {
	if r.bytesPerSecond == 0 {
		return false
	}
	r.update(now)
	threshold := r.begin
	if r.saturated {
		threshold = r.end
	}
	r.saturated = r.carried/rateTimeConstant.Seconds() >= threshold*r.bytesPerSecond
	return r.saturated
}
