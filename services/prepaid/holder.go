package prepaid

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/gateway"
	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/services/follower"
)

const (
	// holderTimeout is the time without a report after which another gateway takes the
	// place of a holder: longer than a killed process takes to restart.
	holderTimeout = 3 * time.Second
	// selectionTTL is how long a selection of holders is used.
	selectionTTL = 250 * time.Millisecond
	// borrowerPollTimeout is how long the store may hold a read of the grants open at a
	// gateway that holds no tokens.
	borrowerPollTimeout = 5 * time.Second
)

// selection is a list of gateways, with the time of its selection.
type selection struct {
	instances  []string
	selectedAt time.Time
}

// selectHolders returns the gateways that hold the workspace's tokens. While the store is
// unreachable, and until it is read after a pause of this process, the selection doesn't change.
func (s *Service) selectHolders(workspace string, now time.Time) []string {
	last, exists := s.holders[workspace]
	if exists && (!s.reportWriter.others.Current(now) || now.Sub(last.selectedAt) < selectionTTL) {
		return last.instances
	}
	if now.Sub(s.able.selectedAt) >= selectionTTL {
		s.able = selection{instances: s.ableGateways(now), selectedAt: now}
	}
	instances := gateway.Holders(workspace, s.able.instances)
	s.holders[workspace] = selection{instances: instances, selectedAt: now}
	return instances
}

// ableGateways returns the gateways that are strong enough to hold tokens and have not
// stopped reporting.
func (s *Service) ableGateways(now time.Time) []string {
	members := s.directory.Members()
	maps.DeleteFunc(members, func(instance string, _ gateway.Member) bool {
		return instance != s.instance && s.reportWriter.others.Silent(now, instance, holderTimeout)
	})
	return gateway.Able(members)
}

// setRole sets the gateway's role for the workspace and the number of its holders.
func (s *Service) setRole(workspace string, h *prepaid.HolderState, now time.Time) {
	if s.directory == nil {
		h.Role, h.Holders = prepaid.Holder, max(1, len(s.accounts[workspace].Grants))
		return
	}
	instances := s.selectHolders(workspace, now)
	h.Holders = len(instances)
	switch {
	case slices.Contains(instances, s.instance):
		h.Role = prepaid.Holder
	case s.accounts[workspace].HoldsByDemand(*h):
		h.Role = prepaid.SelfHolder
	}
	s.budgets[workspace].role = h.Role
}

// grantReadPace returns how often grants are read. A gateway that holds no tokens needs
// them only to know the addresses of lenders.
func (s *Service) grantReadPace() follower.Pace {
	s.mu.Lock()
	defer s.mu.Unlock()
	pace := follower.Pace{MinInterval: minGrantReadInterval, PollTimeout: follower.DefaultPollTimeout}
	if s.directory != nil && s.loaded() && !s.holdsAny() {
		pace.PollTimeout = borrowerPollTimeout
	}
	return pace
}

// holdsAny reports whether the gateway holds tokens of any workspace.
func (s *Service) holdsAny() bool {
	for _, b := range s.budgets {
		if b.role != prepaid.Borrower {
			return true
		}
	}
	return false
}
