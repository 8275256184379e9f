package control

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusline/crocusline/models/fleet"
)

// IsCoordinator says whether it is this process's turn to look after what the fleet
// shares, such as checkpoints of the control stream. The turn goes round by the
// minute, so that a member that is gone does not keep it. Two members that have
// it at once, by clocks that differ, do no harm.
func (s *Service) IsCoordinator() bool {
	turn := time.Now().Truncate(dutyTurn).Unix()
	return onDuty(s.State(), turn) == s.member.Incarnation
}

// dutyTurn is how long one member has the duty.
const dutyTurn = time.Minute

// onDuty returns the incarnation of the entry that comes first in the turn's
// order, or that of the first sidecar where there is no entry.
func onDuty(state *fleet.State, turn int64) string {
	var first fleet.Member
	for _, m := range state.Members {
		if first.Incarnation == "" || before(turn, m, first) {
			first = m
		}
	}
	return first.Incarnation
}

func before(turn int64, a, b fleet.Member) bool {
	return cmp.Or(
		cmp.Compare(a.Role, b.Role),
		cmp.Compare(score(turn, a.Incarnation), score(turn, b.Incarnation)),
		cmp.Compare(a.Incarnation, b.Incarnation),
	) < 0
}

// score orders the members differently in each turn (rendezvous hashing).
func score(turn int64, incarnation string) uint64 {
	return xxhash.Sum64String(strconv.FormatInt(turn, 10) + "/" + incarnation)
}
