package relay_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/prepaid"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/standin/site"
)

// panickingWriter panics when the first event is written.
type panickingWriter struct{ *httptest.ResponseRecorder }

func (panickingWriter) Write([]byte) (int, error) { panic("defect") }

// TestPanicKeepsTokensReserved guards against requests that end by a panic and whose prepaid tokens
// stay reserved.
func TestPanicKeepsTokensReserved(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 4))
	// Two such requests fit into the total if the first has released what it didn't use, three don't.
	env.usage = "1000,5000"
	workspace := route.Workspace{Name: "clinics", Limited: true, Prepaid: 8_000}
	env.catalog.table.Workspaces["clinics"] = workspace
	store := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), metric.New(), platform.WithTransport(site.NewTransport(site.NewStore(), 0)))
	budget := prepaid.New(hclog.NewNullLogger(), store, prepaid.Topics{Grants: "keyed.grants", Reports: "keyed.reports"}, env.catalog, "entry-1")
	if err := budget.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = budget.Close() }()
	for {
		hold, err := budget.Reserve(t.Context(), workspace, "r0", 6_000)
		if err == nil {
			hold.Settle(0)
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	client := exchange.New()
	defer func() { _ = client.Close() }()
	env.relay = relay.New(hclog.NewNullLogger(), platform.HeaderCodec{}, env.catalog, budget, client)
	func() {
		defer func() { _ = recover() }()
		_ = env.sendTo(t.Context(), panickingWriter{httptest.NewRecorder()}, "/plan/a")
		t.Error("the relay did not panic")
	}()
	if resp, err := env.send(t.Context(), "/plan/a"); err != nil || resp.Code != http.StatusOK {
		t.Errorf("the next request: status %d, %v", resp.Code, err)
	}
	// The prompts of both are paid, as the first may have run.
	_, err := env.send(t.Context(), "/plan/a")
	if e, ok := refusal.As(err); !ok || e.Reason != refusal.BudgetExhausted {
		t.Errorf("a third request: got %v, want a refusal", err)
	}
}
