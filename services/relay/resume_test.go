package relay_test

import (
	"net/http"
	"testing"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/standin/site"
)

// TestServerResumesAtAnotherEvent guards against a server that resumes a stream too early or too late,
// and whose events come twice, in another order, or with a gap.
func TestServerResumesAtAnotherEvent(t *testing.T) {
	const last = "4"
	tests := []struct {
		name   string
		second site.Behaviour
		// within is the rest of the stream if the server continues a response, which broke off after
		// event 5, and resumed that of a caller which has received event 4.
		within, resumed string
	}{
		{"at the next event", site.Serve, events(6, 10), events(5, 10)},
		{"too early", site.ResumeEarly, events(6, 10), events(5, 10)},
		{"at the first event", site.ResumeFromFirst, events(6, 10), events(5, 10)},
		{"too late", site.ResumeLate, "", events(7, 10)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			opts := []relay.Option{relay.WithLineage(newFakeLineage("began", "v1"))}
			env := newTestEnv(t, opts, site.NewServer("s1", 10, site.AbortResponse), site.NewServer("s2", 10, tt.second))
			status, body, err := env.sendOverConnection("/draft/a")
			if want := events(1, 5) + tt.within; status != http.StatusOK || body != want || (err == nil) != (tt.within != "") {
				t.Errorf("within a response: got status %d, %q and %v, want %q", status, body, err, want)
			}
			env = newTestEnv(t, opts, site.NewServer("s1", 10, tt.second))
			resp, err := env.send(t.Context(), "/draft/a", "Last-Event-Id", last, "Resumes", "began")
			if err != nil || resp.Body.String() != tt.resumed {
				t.Errorf("resumed by the caller: got %q and %v, want %q", resp.Body.String(), err, tt.resumed)
			}
		})
	}
}

// TestServerEndsBeforeTheEventsReceived guards against a stream that ends as complete with a response that
// ends before the caller's last event, or that is no stream.
func TestServerEndsBeforeTheEventsReceived(t *testing.T) {
	const longer, shorter = 10, 4
	tests := []struct {
		name   string
		events int
		second site.Behaviour
	}{
		{"an earlier end", shorter, site.ResumeFromFirst}, {"no stream", longer, site.RespondWhole},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t, nil, site.NewServer("s1", longer, site.AbortResponse), site.NewServer("s2", tt.events, tt.second))
			status, body, err := env.sendOverConnection("/draft/a")
			if status != http.StatusOK || body != events(1, 5) || err == nil {
				t.Errorf("within a response: got status %d, %q and %v, want an error", status, body, err)
			}
			env = newTestEnv(t, []relay.Option{relay.WithLineage(newFakeLineage("began", "v1"))}, site.NewServer("s1", tt.events, tt.second))
			resp, err := env.send(t.Context(), "/draft/a", "Last-Event-Id", "5", "Resumes", "began")
			if e, refused := refusal.As(err); !refused || e.Outcome != refusal.Unknown {
				t.Errorf("resumed by the caller: got status %d, %q and %v, want an error", resp.Code, resp.Body.String(), err)
			}
		})
	}
}
