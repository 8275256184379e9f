// Package delay waits for a time unless a context ends first.
package delay

import (
	"context"
	"time"
)

// Wait waits for d and returns true, or returns false when ctx ends first.
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
