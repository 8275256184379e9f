package admission_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/services/admission"
	"github.com/crocusline/crocusline/services/dispatch"
)

type control struct{}

func (control) State() *fleet.State {
	return &fleet.State{Tables: &table.Tables{
		Version:    1,
		Routes:     map[string]table.Route{"draft": {Pool: "p", Idempotent: true, MaxTokens: 10, Timeout: time.Minute}},
		Pools:      map[string]table.Pool{"p": {Servers: []string{"s"}}},
		Workspaces: map[string]table.Workspace{"clinic": {Tokens: []string{table.HashToken("t")}}},
	}}
}

// TestGateRecordsOverload checks that only refusals for overload make the gate
// throttle, including those of requests that ended at the retry budget.
func TestGateRecordsOverload(t *testing.T) {
	for _, c := range []struct {
		reason    refusal.Reason
		outcome   refusal.Outcome
		throttled bool
	}{
		{refusal.ShareExceeded, refusal.NotRun, true},
		{refusal.RetryBudget, refusal.NotRun, true},
		{refusal.RetryBudget, refusal.Unknown, false},
		{refusal.BudgetExhausted, refusal.NotRun, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := admission.New(control{})
			refused := false
			for range 50 {
				_, done, err := s.Admit("t", dispatch.Request{Workspace: "clinic", Kind: "draft", Prompt: "x"})
				if e, ok := refusal.As(err); ok {
					refused = refused || e.Reason == refusal.ShareExceeded
					continue
				}
				done()
				s.RecordFailure("clinic", "draft", &refusal.Error{Reason: c.reason, Outcome: c.outcome, RetryAfter: time.Minute})
			}
			if refused != c.throttled {
				t.Errorf("%s, %s: throttled %v", c.reason, c.outcome, refused)
			}
		})
	}
}
