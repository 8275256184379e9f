package delay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusline/crocusline/modules/delay"
)

func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		if !delay.Wait(t.Context(), time.Minute) || time.Since(started) != time.Minute {
			t.Errorf("waited %s, want 1m0s", time.Since(started))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started = time.Now()
		if delay.Wait(ctx, time.Minute) || time.Since(started) != time.Second {
			t.Errorf("waited %s with a context that ended after 1s", time.Since(started))
		}
	})
}
