package schedlag_test

import (
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
