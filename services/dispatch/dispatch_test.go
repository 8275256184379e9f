package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/once"
	"github.com/crocusline/crocusline/models/refusal"
	registry "github.com/crocusline/crocusline/services/ledger"
)

func draining() error {
	return refusal.New(refusal.Draining, time.Second, "shutting down")
}

// checkRefusal checks the reason and outcome of a refused request.
func checkRefusal(t *testing.T, err error, reason refusal.Reason, outcome refusal.Outcome) {
	t.Helper()
	e, ok := refusal.As(err)
	if !ok || e.Reason != reason || e.Outcome != outcome {
		t.Fatalf("error %v, want %s with outcome %s", err, reason, outcome)
	}
}

func TestBrokenStreamResumesAtAnotherServer(t *testing.T) {
	first, second := &fakeSidecar{breakAfter: 2}, &fakeSidecar{}
	f := newFleet(t, first, second)
	sink := &recordingSink{}
	got, err := f.dispatch(true, sink)
	if err != nil {
		t.Fatal(err)
	}
	if text := strings.Join(sink.text, ""); text != "abcd" {
		t.Errorf("caller got %q", text)
	}
	if got.Server != "server-2" || got.Receipt.Bill.Hold.Sequence != 2 || got.Receipt.Bill.Tokens != 7 {
		t.Errorf("response %+v, receipt %+v", got, got.Receipt)
	}
	if len(f.reconciled) != 1 || f.reconciled[0].Sequence != 1 {
		t.Errorf("reconciled holds %v", f.reconciled)
	}
}

func TestRefusedCallKeepsHold(t *testing.T) {
	f := newFleet(t, &fakeSidecar{refuse: draining()}, &fakeSidecar{})
	got, err := f.dispatch(true, &recordingSink{})
	if err != nil {
		t.Fatal(err)
	}
	if got.Receipt.Bill.Hold.Sequence != 1 || len(f.reconciled) != 0 {
		t.Errorf("billed hold %d, reconciled %v", got.Receipt.Bill.Hold.Sequence, f.reconciled)
	}
}

func TestOutcomeNotRunOnlyIfNoCallMayHaveRun(t *testing.T) {
	f := newFleet(t, &fakeSidecar{refuse: draining()}, &fakeSidecar{refuse: draining()})
	_, err := f.dispatch(true, &recordingSink{})
	checkRefusal(t, err, refusal.NoServer, refusal.NotRun)
	if len(f.openHolds) != 0 {
		t.Errorf("holds %v not released", f.openHolds)
	}

	f = newFleet(t, &fakeSidecar{abort: true}, &fakeSidecar{refuse: draining()})
	_, err = f.dispatch(true, &recordingSink{})
	checkRefusal(t, err, refusal.NoServer, refusal.Unknown)
}

func TestRefusedAttemptIsVoidedBeforeRetry(t *testing.T) {
	second := &fakeSidecar{}
	f := newFleet(t, &fakeSidecar{refuse: draining()}, second)
	if _, err := f.dispatch(false, &recordingSink{}); err != nil {
		t.Fatal(err)
	}
	if len(f.voided) != 1 || f.voided[0] != 1 || second.runs != 1 {
		t.Errorf("voided %v, runs %d", f.voided, second.runs)
	}
}

func TestLostAttemptIsFencedBeforeRetry(t *testing.T) {
	first, second := &fakeSidecar{abort: true}, &fakeSidecar{}
	f := newFleet(t, first, second)
	if _, err := f.dispatch(false, &recordingSink{}); err != nil {
		t.Fatal(err)
	}
	if first.fenced != 1 || len(f.voided) != 1 || second.runs != 1 {
		t.Errorf("fenced %d, voided %v, runs %d", first.fenced, f.voided, second.runs)
	}
}

func TestLostResponseIsJoinedNotRunAgain(t *testing.T) {
	first, second := &fakeSidecar{abort: true, state: stateRan}, &fakeSidecar{}
	f := newFleet(t, first, second)
	got, err := f.dispatch(false, &recordingSink{})
	if err != nil {
		t.Fatal(err)
	}
	if got.Server != "server-1" || second.runs != 0 || len(f.voided) != 0 {
		t.Errorf("server %s, runs at other servers %d, voided %v", got.Server, second.runs, f.voided)
	}
}

func TestStateUnknownGivesOutcomeUnknown(t *testing.T) {
	first, second := &fakeSidecar{abort: true, state: stateUnknown}, &fakeSidecar{}
	f := newFleet(t, first, second)
	_, err := f.dispatch(false, &recordingSink{})
	checkRefusal(t, err, refusal.OutcomeUnknown, refusal.Unknown)
	if second.runs != 0 || len(f.reconciled) != 1 {
		t.Errorf("runs at other servers %d, reconciled %v", second.runs, f.reconciled)
	}
}

func TestReplacedSidecarGivesOutcomeUnknown(t *testing.T) {
	first, second := &fakeSidecar{abort: true}, &fakeSidecar{}
	f := newFleet(t, first, second)
	first.incarnation = "server-1/2"
	_, err := f.dispatch(false, &recordingSink{})
	checkRefusal(t, err, refusal.OutcomeUnknown, refusal.Unknown)
	if second.runs != 0 {
		t.Errorf("ran again at another server")
	}
}

func TestRegisteredKey(t *testing.T) {
	tests := []struct {
		name       string
		registered registry.RegistrationResult
		reason     refusal.Reason
		outcome    refusal.Outcome
	}{
		{"other content", registry.RegistrationResult{Conflict: true}, refusal.KeyReused, refusal.NotRun},
		{"sidecar replaced", registry.RegistrationResult{Attempt: 1, Server: "server-1", Sidecar: "server-1/0"}, refusal.OutcomeUnknown, refusal.Unknown},
		{"response lost", registry.RegistrationResult{Attempt: 1, Server: "server-9", Sidecar: "server-9/1", Status: once.Ran}, refusal.OutcomeUnknown, refusal.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			only := &fakeSidecar{}
			f := newFleet(t, only)
			f.registered = &test.registered
			_, err := f.dispatch(false, &recordingSink{})
			checkRefusal(t, err, test.reason, test.outcome)
			if only.runs != 0 || len(f.openHolds) != 0 {
				t.Errorf("runs %d, open holds %v", only.runs, f.openHolds)
			}
		})
	}
}

func TestJoinsAttemptOfAnotherEntry(t *testing.T) {
	only := &fakeSidecar{state: stateRunning}
	f := newFleet(t, only)
	f.registered = &registry.RegistrationResult{Attempt: 1, Server: "server-1", Sidecar: "server-1/1"}
	if _, err := f.dispatch(false, &recordingSink{}); err != nil {
		t.Fatal(err)
	}
	if only.runs != 1 || only.fenced != 0 {
		t.Errorf("runs %d, fenced %d", only.runs, only.fenced)
	}
}

func TestStoredResponseIsReplayed(t *testing.T) {
	only := &fakeSidecar{}
	f := newFleet(t, only)
	f.registered = &registry.RegistrationResult{Attempt: 1, Server: "server-1", BodyKept: true, Body: []byte("ok")}
	got, err := f.dispatch(false, &recordingSink{})
	if err != nil {
		t.Fatal(err)
	}
	if !got.Replayed || string(got.Body) != "ok" || only.runs != 0 || len(f.openHolds) != 0 {
		t.Errorf("response %+v, runs %d, open holds %v", got, only.runs, f.openHolds)
	}
}

// disconnectingSink is a caller that disconnects at the first token.
type disconnectingSink struct {
	recordingSink
	cancel context.CancelFunc
}

func (h *disconnectingSink) Tokens(int64, []string) error {
	h.cancel()
	return nil
}

func TestCallerDisconnectIsNotAServerFailure(t *testing.T) {
	f := newFleet(t, &fakeSidecar{hangAfter: 1}, &fakeSidecar{})
	ctx, cancel := context.WithCancel(t.Context())
	f.ctx = ctx
	_, err := f.dispatch(true, &disconnectingSink{cancel: cancel})
	var sinkErr *SinkError
	if !errors.As(err, &sinkErr) || len(f.failed) != 0 || len(f.reconciled) != 1 {
		t.Errorf("error %v, failed servers %v, reconciled holds %v", err, f.failed, f.reconciled)
	}
}

func TestServerFailureIsRecorded(t *testing.T) {
	f := newFleet(t, &fakeSidecar{breakAfter: 1}, &fakeSidecar{})
	if _, err := f.dispatch(true, &recordingSink{}); err != nil {
		t.Fatal(err)
	}
	if len(f.failed) != 1 || f.failed[0] != "server-1" {
		t.Errorf("failed servers %v", f.failed)
	}
}
