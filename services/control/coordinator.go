package control

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusline/crocusline/models/fleet"
)

// IsCoordinator reports whether this process is currently responsible for the shared
// work of the fleet, such as checkpoints of the control stream. The coordinator rotates
// every minute, so that a member that has failed does not remain the coordinator. If
// clocks differ, two members may be coordinators at once, which does no harm.
func (s *Service) IsCoordinator() bool {
	term := time.Now().Truncate(coordinatorTerm).Unix()
	return coordinator(s.State(), term) == s.member.Incarnation
}

// coordinatorTerm is how long a member is the coordinator.
const coordinatorTerm = time.Minute

// coordinator returns the incarnation of the entry instance that is first in the term's
// order, or that of the first sidecar if there is no entry instance.
func coordinator(state *fleet.State, term int64) string {
	var first fleet.Member
	for _, m := range state.Members {
		if first.Incarnation == "" || before(term, m, first) {
			first = m
		}
	}
	return first.Incarnation
}

func before(term int64, a, b fleet.Member) bool {
	return cmp.Or(
		cmp.Compare(a.Role, b.Role),
		cmp.Compare(rendezvousHash(term, a.Incarnation), rendezvousHash(term, b.Incarnation)),
		cmp.Compare(a.Incarnation, b.Incarnation),
	) < 0
}

// rendezvousHash returns the weight of a member, which differs in each term
// (rendezvous hashing).
func rendezvousHash(term int64, incarnation string) uint64 {
	return xxhash.Sum64String(strconv.FormatInt(term, 10) + "/" + incarnation)
}
