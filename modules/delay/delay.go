// Package delay provides a sleep that a context can cancel.
package delay

import (
	"context"
	"time"
)

// Wait waits for d. It returns false if ctx ends first.
func Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
