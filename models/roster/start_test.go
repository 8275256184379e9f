package roster_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/roster"
)

// epoch is the beginning of the tests of confirmations.
var epoch = time.Unix(1_000_000, 0)

// at returns the time that many seconds after the epoch.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// read reads the list each second from the first to the last time.
func read(r *roster.Roster, first, last float64) {
	for t := first; t <= last; t++ {
		r.RecordRead(at(t))
	}
}

// TestConfirmed checks what proves that the process behind a connection is the listed start of a server.
func TestConfirmed(t *testing.T) {
	s := roster.Server{ID: "s1", Pool: "models", Version: "v1", Started: 17}
	later := s
	later.Started, later.Version = 18, "v2"
	unknown := s
	unknown.Started = 0
	tests := []struct {
		name   string
		listed roster.Server
		chosen roster.Server
		// The list is read from 0 to listAt.
		openedAt, listAt float64
		// askedAt is when the server named its start, if answer isn't 0.
		askedAt float64
		answer  int64
		want    roster.Evidence
	}{
		{"opened long before the list", s, s, 1, 8, 0, 0, roster.ListEvidence},
		{"opened before the first read", s, s, -9, 8, 0, 0, roster.ListEvidence},
		{"opened two seconds before the list", s, s, 6, 8, 0, 0, roster.NoEvidence},
		{"opened three heartbeats before the list", s, s, 4.3, 8, 0, 0, roster.NoEvidence},
		{"opened just before the list", s, s, 7.9, 8, 0, 0, roster.NoEvidence},
		{"opened long before the list, which was just read first", s, s, -9, 0, 0, 0, roster.NoEvidence},
		{"opened while the list can't be read", s, s, 20, 8, 0, 0, roster.NoEvidence},
		{"asked after it was opened", s, s, 20, 8, 21, 17, roster.ReportEvidence},
		{"asked before it was opened", s, s, 20, 8, 19, 17, roster.NoEvidence},
		{"another start answers", s, s, 20, 8, 21, 18, roster.NoEvidence},
		{"no start is known", s, s, 20, 8, 21, 0, roster.NoEvidence},
		{"listed again", later, s, 1, 8, 0, 0, roster.NoEvidence},
		{"no start is listed", unknown, unknown, 1, 8, 0, 0, roster.NoEvidence},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New()
			r.Put(tt.listed, at(0))
			read(r, 0, tt.listAt)
			if tt.answer != 0 && r.RecordStart(tt.chosen, at(tt.askedAt), tt.answer) != (tt.answer == tt.chosen.Started) {
				t.Errorf("the answer %d was taken wrongly", tt.answer)
			}
			// A heartbeat of the same start changes nothing.
			r.Put(tt.listed, at(tt.askedAt))
			if got := r.Confirmed(tt.chosen, at(tt.openedAt)); got != tt.want {
				t.Errorf("evidence %s, want %s", got, tt.want)
			}
		})
	}
	r := roster.New()
	read(r, 0, 8)
	if got := r.Confirmed(s, at(1)); got != roster.NoEvidence {
		t.Errorf("evidence %s of a server that isn't listed", got)
	}
}

// TestServerThatCannotRegister guards against a server that started again, and can't write that to the
// list, but counts as the listed start on connections opened since.
func TestServerThatCannotRegister(t *testing.T) {
	s := roster.Server{ID: "s1", Pool: "models", Version: "v1", Started: 17}
	tests := []struct {
		name string
		play func(r *roster.Roster)
		// long, before and after are the evidence of connections opened at 4, 8 and 14.
		long, before, after roster.Evidence
	}{
		{"the list is back", func(r *roster.Roster) {
			r.ListUnavailable()
			r.ListAvailable(at(20))
			read(r, 20, 21)
		}, roster.ListEvidence, roster.NoEvidence, roster.NoEvidence},
		{"the list is back for longer than servers are silent", func(r *roster.Roster) {
			r.ListUnavailable()
			r.ListAvailable(at(20))
			read(r, 20, 26)
		}, roster.ListEvidence, roster.ListEvidence, roster.ListEvidence},
		{"expired and kept for the grace", func(r *roster.Roster) {
			r.ListUnavailable()
			r.ListAvailable(at(20))
			r.Remove("s1", at(20))
			read(r, 20, 21)
		}, roster.ListEvidence, roster.NoEvidence, roster.NoEvidence},
		{"expired for long during outages", func(r *roster.Roster) {
			r.ListUnavailable()
			r.Remove("s1", at(12))
			r.Remove("s1", at(19))
			read(r, 20, 28)
		}, roster.ListEvidence, roster.NoEvidence, roster.NoEvidence},
		{"the process stood still between two reads", func(r *roster.Roster) {
			read(r, 20, 21)
		}, roster.ListEvidence, roster.NoEvidence, roster.NoEvidence},
		{"the list returned from a copy", func(r *roster.Roster) {
			read(r, 11, 15)
			r.ResetReads()
			read(r, 16, 21)
		}, roster.ListEvidence, roster.ListEvidence, roster.NoEvidence},
		{"the list went back to an earlier start", func(r *roster.Roster) {
			later := s
			later.Started = 18
			r.Put(later, at(12))
			r.Put(s, at(13))
			r.Put(s, at(14))
			read(r, 11, 22)
		}, roster.NoEvidence, roster.NoEvidence, roster.NoEvidence},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New()
			r.Put(s, at(0))
			read(r, 0, 10)
			tt.play(r)
			for _, c := range []struct {
				openedAt float64
				want     roster.Evidence
			}{{4, tt.long}, {8, tt.before}, {14, tt.after}} {
				if got := r.Confirmed(s, at(c.openedAt)); got != c.want {
					t.Errorf("opened at %v: evidence %s, want %s", c.openedAt, got, c.want)
				}
			}
		})
	}
}

// TestHeartbeatOfSettings checks that slower heartbeats take longer to prove anything.
func TestHeartbeatOfSettings(t *testing.T) {
	s := roster.Server{ID: "s1", Pool: "models", Version: "v1", Started: 17}
	for heartbeat, want := range map[time.Duration]roster.Evidence{
		0: roster.ListEvidence, time.Second: roster.ListEvidence, 5 * time.Second: roster.NoEvidence,
	} {
		r := roster.New(roster.WithHeartbeat(heartbeat))
		r.Put(s, at(0))
		read(r, 0, 10)
		if got := r.Confirmed(s, at(4)); got != want {
			t.Errorf("heartbeat %s: evidence %s, want %s", heartbeat, got, want)
		}
	}
}

// TestAnswersInAnotherOrder checks that an earlier answer that comes later takes nothing back.
func TestAnswersInAnotherOrder(t *testing.T) {
	s := roster.Server{ID: "s1", Pool: "models", Version: "v1", Started: 17}
	r := roster.New()
	r.Put(s, at(0))
	for _, askedAt := range []float64{3, 1} {
		if !r.RecordStart(s, at(askedAt), 17) {
			t.Errorf("the answer to the call at %v isn't the listed start", askedAt)
		}
	}
	if got := r.Confirmed(s, at(2)); got != roster.ReportEvidence {
		t.Errorf("evidence %s of a connection opened before the later call", got)
	}
}
