// Package lease is the pure part of shard ownership: which process should own
// a shard, and when a process may try to claim one. The shard's stream decides
// who owns it; a lease only decides when somebody else tries.
package lease

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Order returns the names in the order in which they should own the shard, by
// rendezvous hashing: a name that comes or goes moves only its own shards.
func Order(shard int, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		if c := cmp.Compare(weight(shard, b), weight(shard, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ordered
}

func weight(shard int, name string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(shard) + "/" + name)
}
