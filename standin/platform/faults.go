package platform

import (
	"slices"
	"strings"

	"golang.org/x/time/rate"

	"github.com/crocusline/crocusline/standin/control"
)

// Faults are the limits and failures to simulate. The zero value simulates none.
type Faults struct {
	// AppendsPerSecond limits the total rate of appends of all clients. 0 means
	// no limit.
	AppendsPerSecond float64 `json:"appendsPerSecond"`
	// RetainRecords is the number of records kept in each stream. 0 keeps all.
	RetainRecords int `json:"retainRecords"`
	// RetainFor is the retention period of records. 0 keeps them forever.
	RetainFor control.Duration `json:"retainFor"`
	// Outage makes the platform unavailable to all clients.
	Outage bool `json:"outage"`
	// Cut lists the clients that are partitioned from the platform. A name
	// matches the client of that name and all names with the prefix name + "/".
	Cut []string `json:"cut"`
	// Hang makes refused calls block until the client cancels them.
	Hang bool `json:"hang"`
	// Slowness is added to each call, half of it before the effect.
	Slowness control.Duration `json:"slowness"`
	// LoseNextAnswers is how many of the next appends take effect but return
	// that the log is unavailable.
	LoseNextAnswers int `json:"loseNextAnswers"`
	// LoseAnswerShare is the fraction of appends, from 0 to 1, that do so.
	LoseAnswerShare float64 `json:"loseAnswerShare"`
	// InstanceLag is the delay with which the list of instances shows changes.
	InstanceLag control.Duration `json:"instanceLag"`
}

// refuses reports whether calls of the client are refused.
func (f *Faults) refuses(client string) bool {
	if f.Outage {
		return true
	}
	return slices.ContainsFunc(f.Cut, func(name string) bool {
		return client == name || strings.HasPrefix(client, name+"/")
	})
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	f.Cut = slices.Clone(f.Cut)
	return f
}

// SetFaults replaces the current faults.
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

// burstSeconds is the burst of the append limit, in seconds at the limited rate.
const burstSeconds = 0.1

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}
