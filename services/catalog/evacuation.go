package catalog

import (
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/evacuation"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/services/follower"
)

// tablePollTimeout returns how long the store may hold a read of the operators' topic, which has the tables and the
// evacuations. The lower one of their bounds decides.
func (s *Service) tablePollTimeout() time.Duration {
	bound := s.tableBound
	if s.evacuationBound > 0 {
		bound = min(bound, s.evacuationBound)
	}
	return max(follower.DefaultPollTimeout, time.Duration(tablePollShare*float64(bound)))
}

func (s *Service) evacuationsView() roster.View {
	return roster.View{
		Age: s.tables.Age(), Bound: bounded(s.evacuationBound), Reachable: s.tables.Reachable(), Slow: s.tablesSlow.Load(),
	}
}

// Evacuated returns the names of the evacuated failure domains.
func (s *Service) Evacuated() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.evacuated)
}

// evacuationChanges returns those of the records that concern evacuations.
func (s *Service) evacuationChanges(records []record.Record) []evacuation.Change {
	var changes []evacuation.Change
	for _, r := range records {
		if c, ok := s.codec.Evacuation(r); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// resetEvacuations replaces the evacuations by those among all records of the operators' topic.
func (s *Service) resetEvacuations(records []record.Record, next int64) {
	changes, now := s.evacuationChanges(records), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations.Reset(now, changes, record.Position{Era: s.tables.Era(), Next: next})
	s.refresh(now)
}

// applyEvacuations applies later records of the operators' topic.
func (s *Service) applyEvacuations(records []record.Record, next int64) {
	changes := s.evacuationChanges(records)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations.Apply(changes, record.Position{Era: s.tables.Era(), Next: next})
	if len(changes) > 0 {
		s.refresh(time.Now())
	}
}

// mergeEvacuations applies what a peer knows of evacuations. Peers of older releases don't tell.
func (s *Service) mergeEvacuations(peer *evacuation.Snapshot) {
	if peer == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations.Merge(now, *peer)
	s.refresh(now)
}

// latePollShare is the part of the bound of evacuations after which peers are asked for them. The rest covers the interval
// of these polls, and the response.
const latePollShare = 0.5

// evacuationsLate reports whether the read of the operators' topic takes long, as large tables arrive over a thin link.
func (s *Service) evacuationsLate() bool {
	late := max(maxStoreSilence, time.Duration(latePollShare*float64(s.evacuationBound)))
	return s.evacuationBound > 0 && s.tables.Age() > late
}

// joining reports whether peers may know evacuations that the store lost before this process started.
func (s *Service) joining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.Joining(time.Now())
}

// updateEvacuated sets the failure domains that are evacuated now, and logs changes.
func (s *Service) updateEvacuated(now time.Time) {
	before := s.evacuated
	s.evacuated = s.evacuations.Domains(now)
	for _, domain := range s.evacuated {
		if !slices.Contains(before, domain) {
			s.log.Warn("failure domain evacuated", "failureDomain", domain)
		}
	}
	for _, domain := range before {
		if !slices.Contains(s.evacuated, domain) {
			s.log.Info("evacuation ended", "failureDomain", domain)
		}
	}
}
