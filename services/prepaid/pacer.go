package prepaid

import (
	"context"
	"time"
)

// minTriggerInterval is the shortest time between two iterations of a loop that is
// triggered.
const minTriggerInterval = 20 * time.Millisecond

// pacer schedules the iterations of a loop: after an interval, or earlier when it is
// triggered.
type pacer struct {
	triggered chan struct{}
	lastWake  time.Time
}

func newPacer() *pacer {
	return &pacer{triggered: make(chan struct{}, 1), lastWake: time.Now()}
}

// trigger starts the next iteration as soon as minTriggerInterval permits.
func (p *pacer) trigger() {
	select {
	case p.triggered <- struct{}{}:
	default:
	}
}

// wait waits for the next iteration. It returns false if the context ends first.
func (p *pacer) wait(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.triggered:
		if pause := minTriggerInterval - time.Since(p.lastWake); pause > 0 {
			time.Sleep(pause)
		}
	case <-ctx.Done():
		return false
	}
	p.lastWake = time.Now()
	return true
}
