// Package lease has the deterministic part of shard ownership: which process
// should own a shard, and when a process may try to claim it. The record of the
// claim in the shard's stream determines the owner; a lease only determines when
// another process tries to claim the shard.
package lease

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Order returns the names in order of preference for owning the shard, by
// rendezvous hashing. Adding or removing a name moves only the shards of that
// name.
func Order(shard int, names []string) []string {
	key := strconv.Itoa(shard)
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int { return compare(key, a, b) })
	return ordered
}

// Rank returns the number of names before name in the shard's order.
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

// First returns the preferred name for a key, or "" if there are no names.
func First(key string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int { return compare(key, a, b) })
}

// compare orders names by descending weight, and by name if the weights are equal.
func compare(key, a, b string) int {
	return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
}

func weight(key, name string) uint64 {
	return xxhash.Sum64String(key + "/" + name)
}
