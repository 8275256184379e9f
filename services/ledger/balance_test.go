package ledger_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusline/crocusline/modules/platform/platformtest"
)

// TestIdleTokensAreReturnedAfterOutage guards against a return of idle tokens that
// is lost because the log is unreachable when it is due.
func TestIdleTokensAreReturnedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		c := start(t, "entry", log)
		topUp(t, c, "clinic", 1000)
		c.Release("clinic", reserve(t, c, "clinic", 100))
		log.SetUnavailable(true)
		time.Sleep(time.Minute)
		log.SetUnavailable(false)
		time.Sleep(time.Minute)
		if b := budget(t, c, "clinic"); b.Outstanding != 0 {
			t.Errorf("%d tokens outstanding", b.Outstanding)
		}
	})
}
