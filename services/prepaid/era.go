package prepaid

import (
	"time"

	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/route"
)

// eraSettleTime is how long after the beginning of an era tokens that appear in the tables
// may have been paid in before it. The operator writes again what the store lost.
const eraSettleTime = 8 * time.Second

// workspacesWithheld is the number of workspaces of which tokens are withheld since the
// store returned from a copy.
const workspacesWithheld = "crocusline_workspaces_withheld"

// enterEra is called with the era of each snapshot. When the era rises, grants and reports
// that the store lost are unknown, and this gateway's own are stated again.
func (s *Service) enterEra(era int64) {
	if !s.eraKnown {
		s.era, s.eraKnown = era, true
		return
	}
	if era <= s.era {
		return
	}
	s.log.Warn("grants stated again in a new era of the store", "era", era, "before", s.era, "workspaces", len(s.accounts))
	s.incomplete = s.incomplete || s.missesGrants()
	s.era, s.eraBeganAt = era, time.Now()
	for workspace, a := range s.accounts {
		b, exists := s.budgets[workspace]
		grant := a.Grants[s.instance]
		if !exists || grant.Incarnation != s.incarnation {
			continue
		}
		grant.Total = b.BeginEra()
		grant.Base = grant.PriorSpent + grant.Total
		s.accounts[workspace] = a.WithGrant(s.instance, grant)
	}
}

// missesGrants reports whether grants are unknown to this process when an era ends: those
// that the store lost in an earlier era, or that of its predecessor.
func (s *Service) missesGrants() bool {
	restored := !s.eraBeganAt.IsZero() || (s.directory != nil && s.directory.Restored())
	if !s.loaded() || (restored && !s.released()) {
		return true
	}
	for _, a := range s.accounts {
		own, exists := a.Grants[s.instance]
		if (a.Restored(s.era) && !s.released()) || (exists && own.Incarnation != s.incarnation) {
			return true
		}
	}
	return false
}

// withheldTokens returns how many of the workspace's tokens were paid in before the store's
// era began, or 0 if no era began since the first grant.
func (s *Service) withheldTokens(w route.Workspace, now time.Time) int64 {
	s.markLoaded()
	began := s.eraBeganAt
	if began.IsZero() && (s.accounts[w.Name].Restored(s.era) || (s.directory != nil && s.directory.Restored())) {
		// This process started in an era in which others state their grants again.
		began = s.loadedAt
	}
	if began.IsZero() || s.released() {
		return 0
	}
	withheld, exists := s.withheld[w.Name]
	if !exists || now.Before(began.Add(eraSettleTime)) {
		withheld = max(withheld, w.Prepaid)
		s.withheld[w.Name] = withheld
	}
	return withheld
}

// released reports whether nothing granted before the era is unknown in it: all gateways
// lived through its beginning and have stated their grants, or a gateway that knows this
// recorded it. In the first era there is nothing to release.
func (s *Service) released() bool {
	if s.directory == nil || !s.loaded() {
		return false
	}
	if s.releasedEra == s.era {
		return true
	}
	recorded := s.directory.ReleasedEra() == s.era
	if !recorded && !s.directory.AllStated(s.era) {
		return false
	}
	s.releasedEra = s.era
	clear(s.withheld)
	s.directory.Release(s.era)
	s.log.Info("grants of all gateways known again", "era", s.era, "recorded", recorded)
	return true
}

// stateEra tells the other gateways once all grants of this one are stated in the era.
func (s *Service) stateEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eraBeganAt.IsZero() || s.directory == nil || s.incomplete {
		return
	}
	for _, a := range s.accounts {
		if g, exists := a.Grants[s.instance]; exists && g.Incarnation == s.incarnation && g.Era != s.era {
			return
		}
	}
	for _, g := range s.grantWriters {
		if g.era != s.era {
			return
		}
	}
	s.directory.StateEra(s.era)
}

// markLoaded records when grants and reports had been loaded.
func (s *Service) markLoaded() {
	if s.loadedAt.IsZero() && s.loaded() {
		s.loadedAt = time.Now()
	}
}

// isVoid reports whether a record was decided in an earlier era than one that was read
// before: it was on its way when the store returned from the copy.
func isVoid(era, known int64) bool { return era < known }

// ownGrantOutdated reports whether a record of this gateway's grant is older than the one
// that this process knows to be its own: the store returned from a copy. The record may be
// of a predecessor whose grant this process had closed. The known grant is written again.
func (s *Service) ownGrantOutdated(instance string, g, known prepaid.Grant) bool {
	return instance == s.instance && s.incarnation != 0 && g.Era < s.era &&
		(g.Incarnation == s.incarnation || known.Incarnation == s.incarnation)
}
