package intake_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/intake"
)

// TestPlanStop checks the order of events, that requests have time to end, and that open ones are not
// given up before the last sixth of the grace period, which is when the platform's operators allow it,
// and that all steps after that fit into the grace period.
func TestPlanStop(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second, 5 * time.Minute} {
		s := intake.PlanStop(grace)
		if s.AcceptFor > s.GiveUpAfter || s.GiveUpAfter > s.CloseAfter || s.CloseAfter > grace {
			t.Errorf("grace %s: %+v is out of order", grace, s)
		}
		if end := s.EndAfter(); end > grace || (grace > 0 && (end == grace || min(s.DrainFor, s.ReturnFor, s.RemoveFor) <= 0)) {
			t.Errorf("grace %s: %+v ends after %s", grace, s, end)
		}
		if s.GiveUpAfter < grace*5/6 {
			t.Errorf("grace %s: requests are given up after %s", grace, s.GiveUpAfter)
		}
		if grace >= 8*time.Second && s.AcceptFor < 2*time.Second {
			t.Errorf("grace %s: requests are taken for %s, the platform sends connections for 2 s", grace, s.AcceptFor)
		}
	}
}
