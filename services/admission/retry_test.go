package admission

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/services/dispatch"
)

// fixedControl is a control stream with a constant state.
type fixedControl struct{ state *fleet.State }

func (c fixedControl) State() *fleet.State { return c.state }

func tablesInForce() *fleet.State {
	s, _ := fleet.New().Apply(0, time.Time{}, fleet.Publish{ID: "p", Delta: table.Delta{
		Routes: map[string]table.Route{
			"draft": {Pool: "drafting", Idempotent: true, MaxTokens: 9, Timeout: time.Second},
			"book":  {Pool: "booking", Price: 7, Timeout: time.Second},
		},
		Pools: map[string]table.Pool{
			"drafting": {Servers: []string{"drafting-1"}},
			"booking":  {Kind: table.Plain, Servers: []string{"booking-1"}},
		},
		Workspaces: map[string]table.Workspace{"clinic": {Tokens: []string{table.HashToken("secret")}}},
	}})
	return s
}

// TestRetryIsNotToldNotRun checks the refusals of first calls and retries on an
// entry that shuts down. A retry of a request that is not idempotent must not be
// reported as not run, since an earlier call may have run it.
func TestRetryIsNotToldNotRun(t *testing.T) {
	tests := []struct {
		kind  string
		retry bool
		want  refusal.Outcome
	}{
		{"book", false, refusal.NotRun},
		{"book", true, refusal.Unknown},
		{"draft", true, refusal.NotRun},
	}
	for _, tt := range tests {
		s := New(fixedControl{tablesInForce()})
		req := dispatch.Request{Workspace: "clinic", Kind: tt.kind, IdempotencyKey: "k", Prompt: "ice", Retry: tt.retry}
		if _, _, err := s.Admit("secret", req); err != nil {
			t.Fatalf("%s: %v", tt.kind, err)
		}
		s.Drain()
		_, _, err := s.Admit("secret", req)
		if e, ok := refusal.As(err); !ok || e.Reason != refusal.ShuttingDown || e.Outcome != tt.want {
			t.Errorf("%s, retry %t: %v, want %s", tt.kind, tt.retry, err, tt.want)
		}
	}
}

func TestBadTokenIsRefusedOnRetry(t *testing.T) {
	s := New(fixedControl{tablesInForce()})
	_, _, err := s.Admit("guess", dispatch.Request{Workspace: "clinic", Kind: "book", IdempotencyKey: "k", Retry: true})
	if e, ok := refusal.As(err); !ok || e.Reason != refusal.Unauthenticated || e.Outcome != refusal.NotRun {
		t.Errorf("error = %v", err)
	}
}
