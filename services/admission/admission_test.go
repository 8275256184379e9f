package admission_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/services/admission"
	"github.com/crocusline/crocusline/services/dispatch"
)

// fixedControl is a control stream with a constant state.
type fixedControl struct {
	state *fleet.State
}

func (c fixedControl) State() *fleet.State { return c.state }

func withTables() fixedControl {
	state, _ := fleet.New().Apply(0, time.Unix(0, 0), fleet.Publish{ID: "p", Delta: table.Delta{
		Routes:     map[string]table.Route{"answerDriver": {Pool: "drafting", Idempotent: true, MaxTokens: 10, Timeout: time.Second}},
		Pools:      map[string]table.Pool{"drafting": {Servers: []string{"model-1"}}},
		Workspaces: map[string]table.Workspace{"clinics": {Tokens: []string{table.HashToken("secret")}}},
	}})
	return fixedControl{state: state}
}

func TestDrain(t *testing.T) {
	s := admission.New(withTables())
	req := dispatch.Request{Workspace: "clinics", Kind: "answerDriver", Prompt: "Where?"}
	_, release, err := s.Admit("secret", req)
	if err != nil || s.Err() != nil {
		t.Fatalf("admit: %v, ready: %v", err, s.Err())
	}
	release()
	s.Drain()
	_, _, err = s.Admit("secret", req)
	if e, refused := refusal.As(err); !refused || e.Reason != refusal.ShuttingDown || e.Outcome != refusal.NotRun {
		t.Errorf("admitted while draining: %v", err)
	}
	if s.Err() == nil {
		t.Error("ready while draining")
	}
}

func TestRequestValidation(t *testing.T) {
	s := admission.New(withTables())
	for name, test := range map[string]struct {
		token string
		req   dispatch.Request
		want  refusal.Reason
	}{
		"another's token":   {"other", dispatch.Request{Workspace: "clinics", Kind: "answerDriver", Prompt: "p"}, refusal.Unauthenticated},
		"no token":          {"", dispatch.Request{Workspace: "clinics", Kind: "answerDriver", Prompt: "p"}, refusal.Unauthenticated},
		"unknown workspace": {"secret", dispatch.Request{Workspace: "stores", Kind: "answerDriver", Prompt: "p"}, refusal.UnknownWorkspace},
		"unknown kind":      {"secret", dispatch.Request{Workspace: "clinics", Kind: "other", Prompt: "p"}, refusal.UnknownKind},
		"no prompt":         {"secret", dispatch.Request{Workspace: "clinics", Kind: "answerDriver"}, refusal.InvalidRequest},
	} {
		_, _, err := s.Admit(test.token, test.req)
		if e, refused := refusal.As(err); !refused || e.Reason != test.want || e.Outcome != refusal.NotRun {
			t.Errorf("%s: %v, want %s", name, err, test.want)
		}
	}
}
