package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/notice"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/memory"
	"github.com/crocusline/crocusline/services/prepaid"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/standin/site"
)

// fakeCatalog has one pool of plain services and one of model engines.
type fakeCatalog struct {
	table    *route.Table
	outdated bool
	// next replaces the table once the catalog was asked whether it is current, unless it is nil.
	next      *route.Table
	balancers map[string]*balance.Balancer
	board     *notice.Board
	// notices counts what servers said of themselves.
	notices int
	// restarted is whether servers may have started again under their ids.
	restarted bool
	// stall is called before each use of a balancer, unless it is nil.
	stall func()
}

func (c *fakeCatalog) Table() *route.Table { return c.table }
func (c *fakeCatalog) Age() time.Duration  { return 0 }
func (c *fakeCatalog) Current() bool {
	if c.next != nil {
		c.table, c.next = c.next, nil
	}
	return !c.outdated
}

func (*fakeCatalog) AwaitTables(context.Context) bool  { return false }
func (*fakeCatalog) AwaitServers(context.Context) bool { return false }

func (c *fakeCatalog) WithBalancer(pool string, f func(*balance.Balancer)) {
	if c.stall != nil {
		c.stall()
	}
	f(c.balancers[pool])
}

// RecordNotice implements relay.Catalog. A draining server gets a backoff that outlasts the test.
func (c *fakeCatalog) RecordNotice(s roster.Server, r notice.Response) bool {
	if r.Notice != (call.Notice{}) {
		c.notices++
	}
	if r.Draining {
		r.Backoff = time.Hour
	}
	return c.board.Record(time.Now(), s, r)
}

// Confirmed implements relay.Catalog. All connections are those of the listed starts, unless restarted is set.
func (c *fakeCatalog) Confirmed(roster.Server, time.Time) roster.Evidence {
	if c.restarted {
		return roster.NoEvidence
	}
	return roster.ListEvidence
}

// RecordStart implements relay.Catalog.
func (*fakeCatalog) RecordStart(s roster.Server, _ time.Time, started int64) bool {
	return s.Started == started
}

// fakeBudget grants all reservations, unless refuse is set.
type fakeBudget struct{ refuse error }

func (b fakeBudget) Reserve(context.Context, route.Workspace, string, int64) (*prepaid.Hold, error) {
	return nil, b.refuse
}
func (fakeBudget) Balance(route.Workspace) prepaid.Balance { return prepaid.Balance{} }

const goal = 100 * time.Millisecond

func newCatalog(servers ...*site.Server) *fakeCatalog {
	table := route.New(route.Contents{
		Version: 3,
		Routes: []route.Route{
			{Name: "once", Host: "a.example", Prefix: "/once/", Kind: route.Once, Timeout: time.Second, Goal: goal, MaxAttempts: 3, Pools: []route.WeightedPool{{Pool: "plain", Weight: 1}}},
			{Name: "lookup", Host: "a.example", Prefix: "/lookup/", Kind: route.Idempotent, Timeout: time.Second, Goal: goal, MaxAttempts: 2, Pools: []route.WeightedPool{{Pool: "plain", Weight: 1}}},
			{Name: "report", Host: "a.example", Prefix: "/report/", Kind: route.Idempotent, Timeout: 10 * time.Second, Goal: 2 * time.Second, MaxAttempts: 2, Pools: []route.WeightedPool{{Pool: "plain", Weight: 1}}},
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
		list[i] = roster.Server{ID: s.ID, Address: s.Address(), Slots: 8, FailureDomain: "far", Version: "v1"}
	}
	// The first server is in the near failure domain, so that it is chosen first.
	list[0].FailureDomain = "near"
	near := balance.WithFailureDomain("near")
	board := notice.NewBoard(nil)
	withBoard := balance.WithBoard(board)
	c := &fakeCatalog{table: table, board: board, balancers: map[string]*balance.Balancer{
		"plain": balance.New(near, withBoard), "models": balance.New(near, withBoard),
	}}
	c.balancers["plain"].SetServers(list, 0)
	c.balancers["models"].SetServers(list, 100_000)
	return c
}

// testEnv is a relay with its servers.
type testEnv struct {
	*testing.T
	servers []*site.Server
	catalog *fakeCatalog
	relay   *relay.Service
	// usage is the Token-Usage of prompts.
	usage string
	// method and body are those of requests.
	method string
	body   []byte
}

func newTestEnv(t *testing.T, opts []relay.Option, servers ...*site.Server) *testEnv {
	t.Helper()
	client := exchange.New()
	t.Cleanup(func() { _ = client.Close() })
	for _, s := range servers {
		t.Cleanup(s.Close)
	}
	c := newCatalog(servers...)
	r := relay.New(hclog.NewNullLogger(), platform.HeaderCodec{}, c, fakeBudget{}, client, opts...)
	return &testEnv{T: t, servers: servers, catalog: c, relay: r, usage: "100,40", method: http.MethodPost, body: []byte("body")}
}

// send relays one request and returns the response.
func (env *testEnv) send(ctx context.Context, path string, header ...string) (*httptest.ResponseRecorder, error) {
	env.Helper()
	resp := httptest.NewRecorder()
	return resp, env.sendTo(ctx, resp, path, header...)
}

func (env *testEnv) sendTo(ctx context.Context, resp http.ResponseWriter, path string, header ...string) error {
	env.Helper()
	r := httptest.NewRequest(env.method, path, http.NoBody)
	r.RequestURI = path
	r.Host = "a.example"
	r.Header.Set("Request-Id", "r1")
	r.Header.Set("Authorization", "Token secret")
	r.Header.Set("Deadline-Ms", "800")
	if strings.HasPrefix(path, "/draft/") || strings.HasPrefix(path, "/plan/") {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", env.usage)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	req, err := platform.HeaderCodec{}.Decode(r, time.Now())
	if err != nil {
		env.Fatal(err)
	}
	req.Body = env.body
	return env.relay.Relay(ctx, resp, req)
}

// sendOverConnection relays one request to a caller that reads the response from a connection,
// and returns the status, the body that arrived, and the error that ended it.
func (env *testEnv) sendOverConnection(path string) (int, string, error) {
	env.Helper()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := env.sendTo(r.Context(), w, path); err != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	defer front.Close()
	resp, err := front.Client().Get(front.URL)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func (env *testEnv) ran() int {
	sum := 0
	for _, s := range env.servers {
		sum += s.ExecutionCount("r1")
	}
	return sum
}

func (env *testEnv) arrived() int {
	sum := 0
	for _, s := range env.servers {
		sum += len(s.Requests())
	}
	return sum
}

// TestOnce checks that a non-repeatable request runs at most once, and that the
// outcome is "not run" only if it has not run.
func TestOnce(t *testing.T) {
	tests := []struct {
		name   string
		first  site.Behaviour
		status int
		reason refusal.Reason
		// outcome is checked only if reason is set.
		outcome refusal.Outcome
		ran     int
	}{
		{"served", site.Serve, http.StatusOK, 0, 0, 1},
		{"shed", site.Shed, http.StatusOK, 0, 0, 1},
		{"misdirected", site.Misdirect, http.StatusOK, 0, 0, 1},
		{"failed", site.Fail, http.StatusInternalServerError, 0, 0, 1},
		{"reset", site.Reset, 0, refusal.ServerFailed, refusal.Unknown, 1},
		{"broken off", site.AbortResponse, 0, refusal.ServerFailed, refusal.Unknown, 1},
		{"unsigned", site.Unsigned, 0, refusal.ServerFailed, refusal.Unknown, 1},
		{"swapped", site.WrongRequestID, 0, refusal.DeadlineExpired, refusal.Unknown, 1},
		{"silent", site.Hang, 0, refusal.DeadlineExpired, refusal.Unknown, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t, nil, site.NewServer("s1", 0, tt.first), site.NewServer("s2", 0, site.Serve))
			resp, err := env.send(t.Context(), "/once/a?b=c", "Deadline-Ms", "300")
			if env.ran() != tt.ran {
				t.Errorf("ran %d times, want %d", env.ran(), tt.ran)
			}
			if tt.reason == 0 {
				if err != nil || resp.Code != tt.status {
					t.Fatalf("got status %d and %v, want %d", resp.Code, err, tt.status)
				}
				return
			}
			if e, ok := refusal.As(err); !ok || e.Reason != tt.reason || e.Outcome != tt.outcome {
				t.Errorf("got %v, want %s (%s)", err, tt.reason, tt.outcome)
			}
		})
	}
}

// TestAllShed checks that a request is refused as not run if every server rejected
// it.
func TestAllShed(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 0, site.Shed), site.NewServer("s2", 0, site.Shed))
	_, err := env.send(t.Context(), "/once/a")
	if e, ok := refusal.As(err); !ok || e.Outcome != refusal.NotRun || env.ran() != 0 {
		t.Errorf("got %v after %d runs, want a refusal with outcome not run", err, env.ran())
	}
}

// TestIdempotent checks that an idempotent request is retried at another server.
func TestIdempotent(t *testing.T) {
	for _, first := range []site.Behaviour{site.Fail, site.Reset, site.AbortResponse, site.Unsigned, site.WrongRequestID, site.Hang} {
		t.Run(strconv.Itoa(int(first)), func(t *testing.T) {
			env := newTestEnv(t, []relay.Option{relay.WithRetryBudget(time.Second, 1, 5)},
				site.NewServer("s1", 0, first), site.NewServer("s2", 0, site.Serve))
			resp, err := env.send(t.Context(), "/lookup/a")
			if err != nil || resp.Code != http.StatusOK || resp.Body.String() != "answer of s2" {
				t.Fatalf("got status %d, %q and %v", resp.Code, resp.Body.String(), err)
			}
			if env.arrived() != 2 {
				t.Errorf("%d arrivals, want 2", env.arrived())
			}
		})
	}
}

// TestFailureIsPassedOn checks that the error response of the last server is passed
// on with the signature of that server.
func TestFailureIsPassedOn(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 0, site.Fail), site.NewServer("s2", 0, site.Fail))
	resp, err := env.send(t.Context(), "/lookup/a")
	if err != nil || resp.Code != http.StatusInternalServerError || resp.Header().Get("Response-Seal") == "" {
		t.Errorf("got status %d, %v and %v", resp.Code, resp.Header(), err)
	}
	if env.ran() != 2 {
		t.Errorf("ran %d times, want 2", env.ran())
	}
}

// TestLargeFailure checks that an error response which is too large to be buffered is
// passed on whole, and that a request which can be repeated is sent to another server.
func TestLargeFailure(t *testing.T) {
	// Without memory, responses are passed on unless they are short.
	for _, opts := range [][]relay.Option{nil, {relay.WithMemory(memory.New(0))}} {
		for _, path := range []string{"/once/a", "/lookup/a"} {
			env := newTestEnv(t, opts, site.NewServer("s1", 0, site.FailLarge), site.NewServer("s2", 0, site.Serve))
			resp, err := env.send(t.Context(), path)
			switch {
			case err != nil:
				t.Errorf("%s: %v", path, err)
			case path == "/lookup/a" && (resp.Code != http.StatusOK || resp.Body.String() != "answer of s2"):
				t.Errorf("%s: got status %d and %d bytes, want the answer of the other server", path, resp.Code, resp.Body.Len())
			case path == "/once/a" && (resp.Code != http.StatusInternalServerError || resp.Body.Len() != site.LargeBodySize):
				t.Errorf("%s: got status %d and %d bytes, want %d", path, resp.Code, resp.Body.Len(), site.LargeBodySize)
			}
		}
	}
	env := newTestEnv(t, nil, site.NewServer("s1", 0, site.FailLarge), site.NewServer("s2", 0, site.FailLarge))
	resp, err := env.send(t.Context(), "/lookup/a")
	if e, ok := refusal.As(err); !ok || e.Reason != refusal.ServerFailed || e.Outcome != refusal.Unknown {
		t.Errorf("got status %d, %d bytes and %v, want a refusal with outcome unknown", resp.Code, resp.Body.Len(), err)
	}
}

// TestRetryBudget checks that there are no retries beyond the retry budget.
func TestRetryBudget(t *testing.T) {
	env := newTestEnv(t, []relay.Option{relay.WithRetryBudget(time.Minute, 0, 2)},
		site.NewServer("s1", 0, site.Reset), site.NewServer("s2", 0, site.Reset))
	const requests = 6
	for range requests {
		_, _ = env.send(t.Context(), "/lookup/a")
	}
	if got := env.arrived(); got != requests+2 {
		t.Errorf("%d arrivals, want %d", got, requests+2)
	}
}

// TestUnsentNeedsNoBudget checks that a request which did not reach its server is sent to
// another one without a retry budget, since only one server receives it.
func TestUnsentNeedsNoBudget(t *testing.T) {
	// The other server listens before the first is closed, so that it doesn't get its port.
	unreachable, other := site.NewServer("s1", 0), site.NewServer("s2", 0, site.Serve)
	unreachable.Close()
	env := newTestEnv(t, []relay.Option{relay.WithRetryBudget(time.Minute, 0, 0)}, unreachable, other)
	resp, err := env.send(t.Context(), "/once/a")
	if err != nil || resp.Body.String() != "answer of s2" || env.ran() != 1 {
		t.Errorf("got %q after %d runs and %v, want the answer of s2", resp.Body.String(), env.ran(), err)
	}
}

// eventID matches the line of an event with its id.
var eventID = regexp.MustCompile(`id: .*\n`)

func events(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		b.WriteString(site.Event(id))
	}
	return b.String()
}

// TestResumedStream checks that a stream which breaks within an event is resumed at
// another server without a gap or a repeated event.
func TestResumedStream(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 10, site.AbortResponse), site.NewServer("s2", 10, site.Serve))
	resp, err := env.send(t.Context(), "/draft/a")
	if err != nil || resp.Body.String() != events(1, 10) {
		t.Fatalf("got %q and %v, want events 1 to 10", resp.Body.String(), err)
	}
	if seal := resp.Header().Get("Response-Seal"); seal != "seal-of-s1" {
		t.Errorf("the response is signed %q, want the signature of its first server", seal)
	}
	if got := env.servers[1].Requests()[0].Header.Get("Last-Event-Id"); got != "5" {
		t.Errorf("resumed after event %s, want 5", got)
	}
}

// TestCallerResumes checks that a resumption requested by the caller is passed on to a server of the version that
// began the stream.
func TestCallerResumes(t *testing.T) {
	env := newTestEnv(t, []relay.Option{relay.WithLineage(newFakeLineage("began", "v1"))}, site.NewServer("s1", 10))
	resp, err := env.send(t.Context(), "/draft/a", "Last-Event-Id", "4", "Resumes", "began")
	if err != nil || resp.Body.String() != events(5, 10) {
		t.Errorf("got %q and %v, want events 5 to 10", resp.Body.String(), err)
	}
}

// TestBrokenStream checks that a stream which cannot be resumed is aborted after
// complete events only.
func TestBrokenStream(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 10, site.AbortResponse), site.NewServer("s2", 10, site.AbortResponse))
	resp, err := env.send(t.Context(), "/plan/a")
	var aborted *relay.AbortedError
	if !errors.As(err, &aborted) {
		t.Fatalf("got %v, want AbortedError", err)
	}
	if resp.Body.String() != events(1, 5) {
		t.Errorf("got %q, want events 1 to 5", resp.Body.String())
	}
	if env.arrived() != 1 {
		t.Errorf("%d arrivals, want 1", env.arrived())
	}
}

// TestHeaders checks the request that a server receives.
func TestHeaders(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 0))
	_, err := env.send(t.Context(), "/once/a%2Fb?c=%20", "X-Other", "kept", "Tenant", "forged", "Hold", "h1", "Pin-Ms", "9")
	if err != nil {
		t.Fatal(err)
	}
	seen := env.servers[0].Requests()[0]
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

// TestCallerDisconnects checks that the request to the server is cancelled when the
// caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 0, site.Hang))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := env.send(ctx, "/once/a"); err == nil {
		t.Error("no error")
	}
	for range 200 {
		if env.servers[0].CancelledCount() == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the request to the server was not cancelled")
}

// closedWriter is a response writer whose connection is closed.
type closedWriter struct{ *httptest.ResponseRecorder }

func (closedWriter) Write([]byte) (int, error) { return 0, errors.New("closed") }

// TestAbortReasonOfDisconnectedCaller checks that the abort reason is not an expired
// deadline if the caller disconnects during the response.
func TestAbortReasonOfDisconnectedCaller(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 10))
	err := env.sendTo(t.Context(), closedWriter{httptest.NewRecorder()}, "/draft/a")
	var aborted *relay.AbortedError
	if !errors.As(err, &aborted) || aborted.Reason != refusal.OutcomeUnknown {
		t.Errorf("got %v, want a response aborted with an unknown outcome", err)
	}
}

// TestUnframedStreamWithoutEventsComplete guards against a stream that ends with its connection
// before its first event and is passed on as complete.
func TestUnframedStreamWithoutEventsComplete(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 3, site.EndUnframed), site.NewServer("s2", 3))
	resp, err := env.send(t.Context(), "/draft/a")
	if want := site.Event(1) + site.Event(2) + site.Event(3); err != nil || resp.Body.String() != want {
		t.Errorf("got %q and %v, want three events of the second server", resp.Body, err)
	}
	env = newTestEnv(t, nil, site.NewServer("s1", 3, site.EndUnframed), site.NewServer("s2", 3))
	_, err = env.send(t.Context(), "/plan/a")
	if e, ok := refusal.As(err); !ok || e.Outcome != refusal.Unknown || env.ran() != 1 {
		t.Errorf("got %v after %d runs, want an unknown outcome after one", err, env.ran())
	}
}

// TestSlowResponseCut guards against a response that keeps arriving, but takes longer than a
// server may be silent, and is cut and begun again at another server.
func TestSlowResponseCut(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 0, site.SlowResponse), site.NewServer("s2", 0, site.SlowResponse))
	resp, err := env.send(t.Context(), "/report/a", "Deadline-Ms", "10000")
	if err != nil || resp.Code != http.StatusOK || env.ran() != 1 {
		t.Errorf("got status %d and %v after %d runs, want 200 after one", resp.Code, err, env.ran())
	}
}
