package refusalwire

import (
	"context"
	"errors"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/crocusline/crocusline/models/refusal"
)

func TestRoundTrip(t *testing.T) {
	for _, reason := range refusal.Reasons() {
		for _, outcome := range []refusal.Outcome{refusal.NotRun, refusal.Unknown} {
			want := refusal.Error{Reason: reason, Outcome: outcome, RetryAfter: 3 * time.Second, Advice: "Come back."}
			got, ok := Decode(Encode(&want))
			if !ok || *got != want {
				t.Errorf("Decode(Encode(%+v)) = %+v, %t", want, got, ok)
			}
		}
	}
}

func TestPlainErrorHasUnknownOutcome(t *testing.T) {
	got, ok := Decode(Encode(errors.New("boom")))
	if !ok || got.Outcome != refusal.Unknown {
		t.Errorf("got %+v, want an unknown outcome", got)
	}
	got, ok = Decode(Encode(context.DeadlineExceeded))
	if !ok || got.Outcome != refusal.Unknown || got.Reason != refusal.DeadlineExpired {
		t.Errorf("got %+v, want an unknown outcome", got)
	}
}

func TestConnectErrorWithoutDetail(t *testing.T) {
	err := connect.NewError(connect.CodeUnavailable, errors.New("connection lost"))
	if got, ok := Decode(Encode(err)); ok {
		t.Errorf("Decode = %+v, want nothing", got)
	}
	if Encode(nil) != nil {
		t.Error("Encode(nil) is not nil")
	}
}
