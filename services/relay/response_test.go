package relay_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/standin/site"
)

// TestRefusalWrittenAgain guards against a copy of an earlier response, on a connection that is in
// use again, being taken for the response to a request that the server runs: its caller is told
// that it has not run, or a second server runs it too.
func TestRefusalWrittenAgain(t *testing.T) {
	for _, repetition := range site.Repetitions() {
		for _, path := range []string{"/once/a", "/lookup/a"} {
			t.Run(repetition.Name+path, func(t *testing.T) { testRepetition(t, repetition, path) })
		}
	}
}

func testRepetition(t *testing.T, repetition site.Repetition, path string) {
	t.Helper()
	repeating, err := site.NewRepeatingServer("s1", repetition)
	if err != nil {
		t.Fatal(err)
	}
	other := site.NewServer("s2", 0)
	// The client closes its connections first.
	t.Cleanup(func() { _ = repeating.Close() })
	env := newTestEnv(t, nil, other)
	list := []roster.Server{
		{ID: "s1", Address: repeating.Address(), Slots: 8, FailureDomain: "near"},
		{ID: "s2", Address: other.Address(), Slots: 8, FailureDomain: "far"},
	}
	env.catalog.balancers["plain"].SetServers(list, 0)
	for n := range 4 {
		id := strconv.Itoa(n)
		resp, err := env.send(t.Context(), path, "Request-Id", id)
		ran := repeating.ExecutionCount(id) + other.ExecutionCount(id)
		if e, refused := refusal.As(err); refused && e.Outcome == refusal.NotRun && ran > 0 {
			t.Errorf("request %s ran %d times, and its caller was told %v", id, ran, err)
		}
		if path == "/once/a" && ran > 1 {
			t.Errorf("request %s ran %d times", id, ran)
		}
		if seal := resp.Header().Get("Response-Seal"); err == nil && resp.Body.String() != "answer of "+strings.TrimPrefix(seal, "seal-of-") {
			t.Errorf("request %s got status %d and %q with %s", id, resp.Code, resp.Body.String(), seal)
		}
	}
	if repeating.RepeatedCount() == 0 {
		t.Error("no response was written once more")
	}
}

// TestRefusalWrittenAgainForTheSameID guards against the same for requests whose earlier responses can't be told
// from theirs: without an id, or with the id of an earlier request.
func TestRefusalWrittenAgainForTheSameID(t *testing.T) {
	for _, repetition := range site.Repetitions() {
		for _, path := range []string{"/once/a", "/lookup/a"} {
			for _, id := range []string{"", "r1"} {
				t.Run(repetition.Name+path+"/"+id, func(t *testing.T) { testRepetitionForTheSameID(t, repetition, path, id) })
			}
		}
	}
}

func testRepetitionForTheSameID(t *testing.T, repetition site.Repetition, path, id string) {
	t.Helper()
	repeating, err := site.NewRepeatingServer("s1", repetition)
	if err != nil {
		t.Fatal(err)
	}
	other := site.NewServer("s2", 0)
	t.Cleanup(func() { _ = repeating.Close() })
	env := newTestEnv(t, nil, other)
	env.catalog.balancers["plain"].SetServers([]roster.Server{
		{ID: "s1", Address: repeating.Address(), Slots: 8, FailureDomain: "near"},
		{ID: "s2", Address: other.Address(), Slots: 8, FailureDomain: "far"},
	}, 0)
	for n := range 4 {
		before := repeating.ExecutionCount(id) + other.ExecutionCount(id)
		resp, err := env.send(t.Context(), path, "Request-Id", id)
		ran := repeating.ExecutionCount(id) + other.ExecutionCount(id) - before
		if e, refused := refusal.As(err); refused && e.Outcome == refusal.NotRun && ran > 0 || path == "/once/a" && ran > 1 {
			t.Errorf("request %d ran %d times, and its caller was told %v", n, ran, err)
		}
		if seal := resp.Header().Get("Response-Seal"); err == nil && resp.Body.String() != "answer of "+strings.TrimPrefix(seal, "seal-of-") {
			t.Errorf("request %d got status %d and %q with %s", n, resp.Code, resp.Body.String(), seal)
		}
	}
}

// TestServerNotices checks that what a server says of itself is taken from each kind of
// response as soon as its head has arrived, and from no response of another.
func TestServerNotices(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		first   site.Behaviour
		notices int
	}{
		{"answer", "/once/a", site.Serve, 1},
		{"failure", "/once/a", site.Fail, 1},
		{"rejection", "/once/a", site.Shed, 1},
		{"broken answer", "/once/a", site.AbortResponse, 1},
		{"stream", "/plan/a", site.Serve, 1},
		{"broken stream", "/plan/a", site.AbortResponse, 1},
		{"unsigned", "/once/a", site.Unsigned, 1},
		{"answer to another request", "/once/a", site.WrongRequestID, 0},
		{"another server at the address", "/once/a", site.Misdirect, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t, nil, site.NewServer("s1", 4, tt.first), site.NewServer("s2", 4))
			env.servers[0].SetDraining("1")
			_, _ = env.send(t.Context(), tt.path, "Deadline-Ms", "200")
			if env.catalog.notices != tt.notices {
				t.Errorf("recorded %d times, want %d", env.catalog.notices, tt.notices)
			}
			_, _ = env.send(t.Context(), tt.path, "Deadline-Ms", "200")
			if n := len(env.servers[0].Requests()); tt.notices > 0 && n != 1 {
				t.Errorf("%d requests reached the server, want 1", n)
			}
		})
	}
}

// TestAllServersInBackoff checks that requests which no server takes for a time are refused at once
// until one does, without a token reserved, and that callers don't all come back at once.
func TestAllServersInBackoff(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 4), site.NewServer("s2", 4))
	env.servers[0].RejectAll(true, "5")
	env.servers[1].RejectAll(true, "3.5")
	returns := map[time.Duration]bool{}
	for _, path := range []string{"/draft/a", "/draft/a", "/draft/a", "/draft/a"} {
		_, err := env.send(t.Context(), path)
		e, ok := refusal.As(err)
		if !ok || e.Outcome != refusal.NotRun || e.RetryAfter < 3*time.Second || e.RetryAfter > 6*time.Second {
			t.Fatalf("got %v, want a refusal for 3.5 s and some more", err)
		}
		returns[e.RetryAfter] = true
	}
	if env.arrived() != 2 || len(returns) != 4 {
		t.Errorf("%d arrivals and %d times to come back, want 2 and 4", env.arrived(), len(returns))
	}
}

// TestStreamContinuedByAnotherResponse guards against a response that does not continue the
// stream being written into one that has begun, which then ends as if it were complete. The
// caller reads it over a connection.
func TestStreamContinuedByAnotherResponse(t *testing.T) {
	tests := []struct {
		name     string
		first    site.Behaviour
		second   site.Behaviour
		body     string
		arrivals int
	}{
		{"rejected", site.AbortResponse, site.Reject, events(1, 5), 2},
		{"failed", site.AbortResponse, site.Fail, events(1, 5), 2},
		{"large failure", site.AbortResponse, site.FailLarge, events(1, 5), 2},
		{"turned away", site.AbortResponse, site.Shed, events(1, 5), 2},
		{"no stream", site.AbortResponse, site.RespondWhole, events(1, 5), 2},
		{"unsigned", site.AbortResponse, site.Unsigned, events(1, 5), 2},
		{"earlier events only", site.AbortResponse, site.RestartUnframed, events(1, 5), 2},
		{"no event to continue after", site.AbortUnnumbered, site.Serve, eventID.ReplaceAllString(events(1, 5), ""), 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t, nil, site.NewServer("s1", 10, tt.first), site.NewServer("s2", 10, tt.second))
			status, body, err := env.sendOverConnection("/draft/a")
			if status != http.StatusOK || body != tt.body || err == nil {
				t.Errorf("got status %d, %q and %v, want 200, the events before the break and an error", status, body, err)
			}
			if env.arrived() != tt.arrivals {
				t.Errorf("%d arrivals, want %d", env.arrived(), tt.arrivals)
			}
		})
	}
}

// TestRepeatedEvents checks that a stream whose server repeats events without end goes on at another
// server, or is aborted at once if it can't be resumed.
func TestRepeatedEvents(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 10, site.RepeatEvents), site.NewServer("s2", 10))
	status, body, err := env.sendOverConnection("/draft/a")
	if status != http.StatusOK || body != events(1, 10) || err != nil {
		t.Errorf("got status %d, %q and %v, want 200 and all events", status, body, err)
	}
	env = newTestEnv(t, nil, site.NewServer("s1", 10, site.RepeatEvents))
	resp, err := env.send(t.Context(), "/plan/a")
	var aborted *relay.AbortedError
	if !errors.As(err, &aborted) || aborted.Reason != refusal.ServerFailed || resp.Body.String() != events(1, 5) {
		t.Errorf("got %q and %v, want the first events and a response aborted as the server failed", resp.Body, err)
	}
}
