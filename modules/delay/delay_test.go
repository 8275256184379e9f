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
		began := time.Now()
		if !delay.Wait(t.Context(), time.Minute) || time.Since(began) != time.Minute {
			t.Errorf("waited %s, want 1m0s", time.Since(began))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began = time.Now()
		if delay.Wait(ctx, time.Minute) || time.Since(began) != time.Second {
			t.Errorf("waited %s for a context that ended after 1s", time.Since(began))
		}
	})
}
