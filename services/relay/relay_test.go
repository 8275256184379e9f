package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/prepaid"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/standin/site"
)

// tables is a catalog with one pool of plain services and one of model engines.
type tables struct {
	table     *route.Table
	balancers map[string]*balance.Balancer
}

func (c *tables) Table() *route.Table { return c.table }
func (c *tables) Age() time.Duration  { return 0 }
func (c *tables) WithBalancer(pool string, f func(*balance.Balancer)) {
	f(c.balancers[pool])
}

// budget has tokens for everybody.
type budget struct{ refuse error }

func (b budget) Reserve(context.Context, route.Workspace, string, int64) (*prepaid.Hold, error) {
	return nil, b.refuse
}
func (budget) Balance(route.Workspace) prepaid.Balance { return prepaid.Balance{} }

const goal = 100 * time.Millisecond

func newTables(servers ...*site.Server) *tables {
	table := route.New(route.Contents{
		Version: 3,
		Routes: []route.Route{
			{Name: "once", Host: "a.example", Prefix: "/once/", Kind: route.Once, Timeout: time.Second, Goal: goal, MaxAttempts: 3, Pools: []route.WeightedPool{{Pool: "plain", Weight: 1}}},
			{Name: "lookup", Host: "a.example", Prefix: "/lookup/", Kind: route.Idempotent, Timeout: time.Second, Goal: goal, MaxAttempts: 2, Pools: []route.WeightedPool{{Pool: "plain", Weight: 1}}},
			{Name: "draft", Host: "a.example", Prefix: "/draft/", Kind: route.ResumableStream, Timeout: time.Second, Goal: goal, MaxAttempts: 2, Pools: []route.WeightedPool{{Pool: "models", Weight: 1}}},
			{Name: "plan", Host: "a.example", Prefix: "/plan/", Kind: route.Stream, Timeout: time.Second, Goal: goal, MaxAttempts: 3, Pools: []route.WeightedPool{{Pool: "models", Weight: 1}}},
		},
		Pools: map[string]route.Pool{
			"plain":  {Name: "plain", MaxConns: 100},
			"models": {Name: "models", MaxConns: 100, Engine: &route.Engine{Slots: 64, Memory: 100_000, TokensPerEvent: 4}},
		},
		Workspaces: map[string]route.Workspace{"clinics": {Name: "clinics", Priority: -1}},
		Keys:       map[string]string{"secret": "clinics"},
	})
	list := make([]roster.Server, len(servers))
	for i, s := range servers {
		list[i] = roster.Server{ID: s.ID, Address: s.Address(), Slots: 8, FailureDomain: "far"}
	}
	// The first server is near, so that it is chosen first.
	list[0].FailureDomain = "near"
	near := balance.WithFailureDomain("near")
	c := &tables{table: table, balancers: map[string]*balance.Balancer{"plain": balance.New(near), "models": balance.New(near)}}
	c.balancers["plain"].SetServers(list, 0)
	c.balancers["models"].SetServers(list, 100_000)
	return c
}

// world is a relay with its servers.
type world struct {
	*testing.T
	servers []*site.Server
	relay   *relay.Service
}

func newWorld(t *testing.T, opts []relay.Option, servers ...*site.Server) *world {
	t.Helper()
	client := exchange.New()
	t.Cleanup(func() { _ = client.Close() })
	for _, s := range servers {
		t.Cleanup(s.Close)
	}
	r := relay.New(hclog.NewNullLogger(), platform.HeaderCodec{}, newTables(servers...), budget{}, client, opts...)
	return &world{T: t, servers: servers, relay: r}
}

// send relays one request and returns the answer.
func (w *world) send(ctx context.Context, path string, header ...string) (*httptest.ResponseRecorder, error) {
	w.Helper()
	answer := httptest.NewRecorder()
	return answer, w.sendTo(ctx, answer, path, header...)
}

func (w *world) sendTo(ctx context.Context, answer http.ResponseWriter, path string, header ...string) error {
	w.Helper()
	r := httptest.NewRequest(http.MethodPost, path, http.NoBody)
	r.RequestURI = path
	r.Host = "a.example"
	r.Header.Set("Request-Id", "r1")
	r.Header.Set("Authorization", "Token secret")
	r.Header.Set("Deadline-Ms", "800")
	if strings.HasPrefix(path, "/draft/") || strings.HasPrefix(path, "/plan/") {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", "100,40")
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	req, err := platform.HeaderCodec{}.Decode(r, time.Now())
	if err != nil {
		w.Fatal(err)
	}
	req.Body = []byte("body")
	return w.relay.Relay(ctx, answer, req)
}

func (w *world) ran() int {
	sum := 0
	for _, s := range w.servers {
		sum += s.Ran("r1")
	}
	return sum
}

func (w *world) arrived() int {
	sum := 0
	for _, s := range w.servers {
		sum += len(s.Seen())
	}
	return sum
}

// TestOnce checks that a request which must not be repeated runs at most once,
// and that "not run" is only said of one that has not run.
func TestOnce(t *testing.T) {
	tests := []struct {
		name   string
		first  site.Behaviour
		status int
		reason refusal.Reason
		// outcome is checked if there is a reason.
		outcome refusal.Outcome
		ran     int
	}{
		{"served", site.Serve, http.StatusOK, 0, 0, 1},
		{"shed", site.Shed, http.StatusOK, 0, 0, 1},
		{"misdirected", site.Misdirect, http.StatusOK, 0, 0, 1},
		{"failed", site.Fail, http.StatusInternalServerError, 0, 0, 1},
		{"reset", site.Reset, 0, refusal.ServerFailed, refusal.Unknown, 1},
		{"broken off", site.BreakOff, 0, refusal.ServerFailed, refusal.Unknown, 1},
		{"unsigned", site.Unsigned, 0, refusal.ServerFailed, refusal.Unknown, 1},
		{"swapped", site.Swap, 0, refusal.DeadlineExpired, refusal.Unknown, 1},
		{"silent", site.Hang, 0, refusal.DeadlineExpired, refusal.Unknown, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, nil, site.NewServer("s1", 0, tt.first), site.NewServer("s2", 0, site.Serve))
			answer, err := w.send(t.Context(), "/once/a?b=c", "Deadline-Ms", "300")
			if w.ran() != tt.ran {
				t.Errorf("ran %d times, want %d", w.ran(), tt.ran)
			}
			if tt.reason == 0 {
				if err != nil || answer.Code != tt.status {
					t.Fatalf("got status %d and %v, want %d", answer.Code, err, tt.status)
				}
				return
			}
			if e, ok := refusal.As(err); !ok || e.Reason != tt.reason || e.Outcome != tt.outcome {
				t.Errorf("got %v, want %s (%s)", err, tt.reason, tt.outcome)
			}
		})
	}
}

// TestAllShed checks that a request that no server ran is refused as not run.
func TestAllShed(t *testing.T) {
	w := newWorld(t, nil, site.NewServer("s1", 0, site.Shed), site.NewServer("s2", 0, site.Shed))
	_, err := w.send(t.Context(), "/once/a")
	if e, ok := refusal.As(err); !ok || e.Outcome != refusal.NotRun || w.ran() != 0 {
		t.Errorf("got %v after %d runs, want a refusal that has not run", err, w.ran())
	}
}

// TestIdempotent checks that a lookup is repeated at another server.
func TestIdempotent(t *testing.T) {
	for _, first := range []site.Behaviour{site.Fail, site.Reset, site.BreakOff, site.Unsigned, site.Swap, site.Hang} {
		t.Run(strconv.Itoa(int(first)), func(t *testing.T) {
			w := newWorld(t, []relay.Option{relay.WithRetryBudget(time.Second, 1, 5)},
				site.NewServer("s1", 0, first), site.NewServer("s2", 0, site.Serve))
			answer, err := w.send(t.Context(), "/lookup/a")
			if err != nil || answer.Code != http.StatusOK || answer.Body.String() != "answer of s2" {
				t.Fatalf("got status %d, %q and %v", answer.Code, answer.Body.String(), err)
			}
			if w.arrived() != 2 {
				t.Errorf("%d arrivals, want 2", w.arrived())
			}
		})
	}
}

// TestFailureIsPassedOn checks that a failure that both servers report comes with
// the signature of its server.
func TestFailureIsPassedOn(t *testing.T) {
	w := newWorld(t, nil, site.NewServer("s1", 0, site.Fail), site.NewServer("s2", 0, site.Fail))
	answer, err := w.send(t.Context(), "/lookup/a")
	if err != nil || answer.Code != http.StatusInternalServerError || answer.Header().Get("Response-Seal") == "" {
		t.Errorf("got status %d, %v and %v", answer.Code, answer.Header(), err)
	}
	if w.ran() != 2 {
		t.Errorf("ran %d times, want 2", w.ran())
	}
}

// TestRetryBudget checks that repeats end with their budget.
func TestRetryBudget(t *testing.T) {
	w := newWorld(t, []relay.Option{relay.WithRetryBudget(time.Minute, 0, 2)},
		site.NewServer("s1", 0, site.Reset), site.NewServer("s2", 0, site.Reset))
	const requests = 6
	for range requests {
		_, _ = w.send(t.Context(), "/lookup/a")
	}
	if got := w.arrived(); got != requests+2 {
		t.Errorf("%d arrivals, want %d", got, requests+2)
	}
}

func events(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		b.WriteString(site.Event(id))
	}
	return b.String()
}

// TestResumedStream checks that a stream that breaks in the middle of an event
// goes on at another server without a gap or a repeated event.
func TestResumedStream(t *testing.T) {
	w := newWorld(t, nil, site.NewServer("s1", 10, site.BreakOff), site.NewServer("s2", 10, site.Serve))
	answer, err := w.send(t.Context(), "/draft/a")
	if err != nil || answer.Body.String() != events(1, 10) {
		t.Fatalf("got %q and %v, want events 1 to 10", answer.Body.String(), err)
	}
	if seal := answer.Header().Get("Response-Seal"); seal != "seal-of-s1" {
		t.Errorf("the answer is signed %q, want that of its first server", seal)
	}
	if got := w.servers[1].Seen()[0].Header.Get("Last-Event-Id"); got != "5" {
		t.Errorf("resumed after event %s, want 5", got)
	}
}

// TestCallerResumes checks that a caller's own resumption is passed on.
func TestCallerResumes(t *testing.T) {
	w := newWorld(t, nil, site.NewServer("s1", 10))
	answer, err := w.send(t.Context(), "/draft/a", "Last-Event-Id", "4")
	if err != nil || answer.Body.String() != events(5, 10) {
		t.Errorf("got %q and %v, want events 5 to 10", answer.Body.String(), err)
	}
}

// TestBrokenStream checks that a stream that can't be resumed ends visibly
// broken, after whole events only.
func TestBrokenStream(t *testing.T) {
	w := newWorld(t, nil, site.NewServer("s1", 10, site.BreakOff), site.NewServer("s2", 10, site.BreakOff))
	answer, err := w.send(t.Context(), "/plan/a")
	var aborted *relay.AbortedError
	if !errors.As(err, &aborted) {
		t.Fatalf("got %v, want AbortedError", err)
	}
	if answer.Body.String() != events(1, 5) {
		t.Errorf("got %q, want events 1 to 5", answer.Body.String())
	}
	if w.arrived() != 1 {
		t.Errorf("%d arrivals, want 1", w.arrived())
	}
}

// TestHeaders checks what a server is told.
func TestHeaders(t *testing.T) {
	w := newWorld(t, nil, site.NewServer("s1", 0))
	_, err := w.send(t.Context(), "/once/a%2Fb?c=%20", "X-Other", "kept", "Tenant", "forged", "Hold", "h1", "Pin-Ms", "9")
	if err != nil {
		t.Fatal(err)
	}
	seen := w.servers[0].Seen()[0]
	if seen.Target != "/once/a%2Fb?c=%20" || seen.Body != "body" || seen.Method != http.MethodPost {
		t.Errorf("got %+v", seen)
	}
	for name, want := range map[string]string{
		"Tenant": "clinics", "Expect-Instance": "s1", "X-Other": "kept", "Authorization": "", "Hold": "", "Pin-Ms": "",
	} {
		if got := seen.Header.Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	if left, err := strconv.Atoi(seen.Header.Get("Deadline-Ms")); err != nil || left > 800 || left < 100 {
		t.Errorf("Deadline-Ms is %q", seen.Header.Get("Deadline-Ms"))
	}
}

// TestCallerLeaves checks that the server's work ends with the caller.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(t, nil, site.NewServer("s1", 0, site.Hang))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := w.send(ctx, "/once/a"); err == nil {
		t.Error("no error")
	}
	for range 200 {
		if w.servers[0].Cancelled() == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the server still works")
}

// deaf is a caller that has closed its connection.
type deaf struct{ *httptest.ResponseRecorder }

func (deaf) Write([]byte) (int, error) { return 0, errors.New("closed") }

// TestReasonOfCallerGone checks that a caller that leaves in the middle of an answer
// is not reported as one whose time is over.
func TestReasonOfCallerGone(t *testing.T) {
	w := newWorld(t, nil, site.NewServer("s1", 10))
	err := w.sendTo(t.Context(), deaf{httptest.NewRecorder()}, "/draft/a")
	var aborted *relay.AbortedError
	if !errors.As(err, &aborted) || aborted.Reason != refusal.OutcomeUnknown {
		t.Errorf("got %v, want an answer broken off with an unknown outcome", err)
	}
}

// TestRefusals checks what is refused before anything is sent.
func TestRefusals(t *testing.T) {
	w := newWorld(t, nil, site.NewServer("s1", 0))
	for _, tt := range []struct {
		path   string
		key    string
		reason refusal.Reason
	}{
		{"/nowhere/", "secret", refusal.UnknownKind},
		{"/once/a", "wrong", refusal.Unauthenticated},
	} {
		_, err := w.send(t.Context(), tt.path, "Authorization", "Token "+tt.key)
		if e, ok := refusal.As(err); !ok || e.Reason != tt.reason || w.arrived() != 0 {
			t.Errorf("%s: got %v, want %s", tt.path, err, tt.reason)
		}
	}
}
