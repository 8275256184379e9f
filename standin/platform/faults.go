package platform

import (
	"slices"
	"strings"

	"golang.org/x/time/rate"

	"github.com/crocusline/crocusline/standin/control"
)

// Faults are the limits and failures of the platform. The zero value is a
// platform without any.
type Faults struct {
	// AppendsPerSecond limits the appends of all clients together. 0 means no
	// limit.
	AppendsPerSecond float64 `json:"appendsPerSecond"`
	// RetainRecords is how many records each stream keeps. 0 keeps all.
	RetainRecords int `json:"retainRecords"`
	// RetainFor is how long records are kept. 0 keeps them for ever.
	RetainFor control.Duration `json:"retainFor"`
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Cut lists the clients whose calls are refused. A name matches the client
	// of that name and those whose name begins with it and a slash.
	Cut []string `json:"cut"`
	// Hang leaves refused calls without an answer until the client gives up.
	Hang bool `json:"hang"`
	// Slowness is added to each call, half of it before the effect.
	Slowness control.Duration `json:"slowness"`
	// LoseNextAnswers is how many of the next appends take effect and answer
	// that the log is unavailable.
	LoseNextAnswers int `json:"loseNextAnswers"`
	// LoseAnswerShare is the share of appends, from 0 to 1, that do so.
	LoseAnswerShare float64 `json:"loseAnswerShare"`
	// InstanceLag is how late the list of instances shows changes.
	InstanceLag control.Duration `json:"instanceLag"`
}

// refuses reports whether calls of the client get no answer.
func (f *Faults) refuses(client string) bool {
	if f.Outage {
		return true
	}
	return slices.ContainsFunc(f.Cut, func(name string) bool {
		return client == name || strings.HasPrefix(client, name+"/")
	})
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	f.Cut = slices.Clone(f.Cut)
	return f
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(f)
}

func (s *Store) setFaults(f Faults) {
	if s.limiter == nil || f.AppendsPerSecond != s.faults.AppendsPerSecond {
		s.limiter = newLimiter(f.AppendsPerSecond)
	}
	f.Cut = slices.Clone(f.Cut)
	s.faults = f
	for _, st := range s.streams {
		st.notifyReaders()
	}
}

// FaultState implements control.Target.
func (s *Store) FaultState() any {
	return s.Faults()
}

// MergeFaults implements control.Target.
func (s *Store) MergeFaults(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	f.Cut = slices.Clone(f.Cut)
	if err := control.Decode(data, &f); err != nil {
		return err
	}
	s.setFaults(f)
	return nil
}

// ResetFaults implements control.Target.
func (s *Store) ResetFaults() {
	s.SetFaults(s.initialFaults)
}

// burstSeconds is how many seconds' worth of appends may come at once.
const burstSeconds = 0.1

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}
