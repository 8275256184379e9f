package control

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// score orders the members differently in each turn (rendezvous hashing).
func score(turn int64, incarnation string) uint64 {
	return xxhash.Sum64String(strconv.FormatInt(turn, 10) + "/" + incarnation)
}
