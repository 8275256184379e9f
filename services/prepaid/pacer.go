package prepaid

import (
	"context"
	"time"
)

// urgentInterval is the shortest time between two turns of a loop that is urged.
const urgentInterval = 20 * time.Millisecond

// pacer wakes a loop from time to time, and soon when it is urged.
type pacer struct {
	urged chan struct{}
	last  time.Time
}

func newPacer() *pacer {
	return &pacer{urged: make(chan struct{}, 1), last: time.Now()}
}

// urge makes the next turn begin soon.
func (p *pacer) urge() {
	select {
	case p.urged <- struct{}{}:
	default:
	}
}

// wait waits for the next turn. It returns false when the context ends.
func (p *pacer) wait(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.urged:
		if pause := urgentInterval - time.Since(p.last); pause > 0 {
			time.Sleep(pause)
		}
	case <-ctx.Done():
		return false
	}
	p.last = time.Now()
	return true
}
