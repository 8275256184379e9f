package schedlag_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusline/crocusline/modules/schedlag"
)

// TestIdle checks that a process that is never kept from running has no delay.
func TestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := schedlag.New()
		time.Sleep(time.Second)
		if d := m.Delay(); d != 0 {
			t.Errorf("got a delay of %s, want none", d)
		}
		if err := m.Close(); err != nil {
			t.Error(err)
		}
	})
}

// TestPauses checks which pauses are reported. In virtual time no timer is late.
func TestPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		var pauses []schedlag.Pause
		m := schedlag.New(
			schedlag.WithOnPause(func(p schedlag.Pause) { pauses = append(pauses, p) }),
			schedlag.WithSuspended(func() time.Duration { return time.Duration(suspended.Load()) }))
		for _, d := range []time.Duration{0, 200 * time.Millisecond, 4 * time.Second} {
			suspended.Add(int64(d))
			time.Sleep(time.Second)
		}
		if err := m.Close(); err != nil {
			t.Error(err)
		}
		if len(pauses) != 1 || pauses[0] != (schedlag.Pause{Suspended: 4 * time.Second}) {
			t.Errorf("got the pauses %v, want one suspension of 4 s", pauses)
		}
	})
}
