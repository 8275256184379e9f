package roster_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/roster"
)

// TestConfirmed checks what proves that the process behind a connection is the listed start of a server.
func TestConfirmed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	s := roster.Server{ID: "s1", Pool: "models", Version: "v1", Started: 17}
	later := s
	later.Started, later.Version = 18, "v2"
	unknown := s
	unknown.Started = 0
	tests := []struct {
		name             string
		listed           roster.Server
		chosen           roster.Server
		openedAt, listAt float64
		// askedAt is when the server named its start, if answer isn't 0.
		askedAt float64
		answer  int64
		want    roster.Evidence
	}{
		{"opened long before the list", s, s, 0, 5, 0, 0, roster.ListEvidence},
		{"opened just before the list", s, s, 4, 5, 0, 0, roster.NoEvidence},
		{"opened while the list can't be read", s, s, 20, 5, 0, 0, roster.NoEvidence},
		{"asked after it was opened", s, s, 20, 5, 21, 17, roster.ReportEvidence},
		{"asked before it was opened", s, s, 20, 5, 19, 17, roster.NoEvidence},
		{"another start answers", s, s, 20, 5, 21, 18, roster.NoEvidence},
		{"no start is known", s, s, 20, 5, 21, 0, roster.NoEvidence},
		{"listed again", later, s, 0, 5, 0, 0, roster.NoEvidence},
		{"no start is listed", unknown, unknown, 0, 5, 0, 0, roster.NoEvidence},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New()
			r.Put(tt.listed, now)
			if tt.answer != 0 && r.RecordStart(tt.chosen, at(tt.askedAt), tt.answer) != (tt.answer == tt.chosen.Started) {
				t.Errorf("the answer %d was taken wrongly", tt.answer)
			}
			// A heartbeat of the same start changes nothing.
			r.Put(tt.listed, at(tt.askedAt))
			if got := r.Confirmed(tt.chosen, at(tt.openedAt), at(tt.listAt)); got != tt.want {
				t.Errorf("evidence %s, want %s", got, tt.want)
			}
		})
	}
	if roster.New().Confirmed(s, at(0), at(5)) != roster.NoEvidence {
		t.Error("a server that isn't listed is confirmed")
	}
}
