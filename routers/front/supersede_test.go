package front_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/takeover"
	"github.com/crocusline/crocusline/routers/front"
)

// fakeAttempts records what was superseded.
type fakeAttempts struct {
	id        lineage.ID
	successor netip.AddrPort
	answer    takeover.Answer
	err       error
}

func (a *fakeAttempts) Supersede(_ context.Context, id lineage.ID, successor netip.AddrPort) (takeover.Answer, error) {
	a.id, a.successor = id, successor
	return a.answer, a.err
}

func (a *fakeAttempts) Holds(id lineage.ID) bool { return id == a.id }

// TestSupersede checks that a gateway has another one end its attempts at a stream.
func TestSupersede(t *testing.T) {
	attempts := &fakeAttempts{}
	server := httptest.NewServer(front.NewPeerHandler(hclog.NewNullLogger(), fixedSnapshot{}, nil, oneOrigin{}, attempts))
	defer server.Close()
	client := front.NewPeerClient(nil)
	defer func() { _ = client.Close() }()
	peer, id, self := addresses(t, server)[0], lineage.NewID("clinics", "r1"), netip.MustParseAddrPort("10.0.0.2:80")
	for _, answer := range []takeover.Answer{{}, {Successors: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.3:80"), netip.MustParseAddrPort("10.0.0.4:80")}, Recorded: true}} {
		attempts.answer = answer
		got, err := client.Supersede(t.Context(), peer, id, self)
		if err != nil || !reflect.DeepEqual(got, answer) || attempts.id != id || attempts.successor != self {
			t.Errorf("got %v and %v, the gateway got %+v", got, err, attempts)
		}
	}
	attempts.err = errors.New("its server's connection is open")
	if _, err := client.Supersede(t.Context(), peer, id, self); err == nil {
		t.Error("got no error of a gateway that could not end its attempts")
	}
	server.Close()
	if _, err := client.Supersede(t.Context(), peer, id, self); err == nil {
		t.Error("got no error of a gateway that has ended")
	}
}

// TestOriginAtOlderRelease checks that a gateway which doesn't say whether it takes part in a stream counts as one that
// does if it knows the stream.
func TestOriginAtOlderRelease(t *testing.T) {
	for body, want := range map[string]lineage.Answer{
		`{"pool":"models","version":"v1"}`: {Origin: lineage.Origin{Pool: "models", Version: "v1"}, Participant: true},
		`{}`:                               {},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		client := front.NewPeerClient(nil)
		if got, err := client.Origin(t.Context(), addresses(t, server)[0], lineage.NewID("clinics", "r1")); err != nil || got != want {
			t.Errorf("%s: got %+v and %v, want %+v", body, got, err, want)
		}
		_ = client.Close()
		server.Close()
	}
}
