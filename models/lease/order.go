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
	key := strconv.Itoa(shard)
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int { return compare(key, a, b) })
	return ordered
}

// Rank returns how many of the names come before a name in the shard's order.
func Rank(shard int, name string, names []string) int {
	key := strconv.Itoa(shard)
	rank := 0
	for _, other := range names {
		if compare(key, other, name) < 0 {
			rank++
		}
	}
	return rank
}

// First returns the name that a key falls to, or "" if there are no names.
func First(key string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int { return compare(key, a, b) })
}

func compare(key, a, b string) int {
	return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
}

func weight(key, name string) uint64 {
	return xxhash.Sum64String(key + "/" + name)
}
