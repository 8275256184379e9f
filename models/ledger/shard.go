package ledger

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ShardOf returns the shard of a workspace among count shards, by rendezvous
// hashing. When a shard is added, workspaces move only to the new shard.
func ShardOf(workspace string, count int) int {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], xxhash.Sum64String(workspace))
	best, bestWeight := 0, uint64(0)
	for shard := range count {
		binary.LittleEndian.PutUint64(key[8:], uint64(shard))
		if weight := xxhash.Sum64(key[:]); weight >= bestWeight {
			best, bestWeight = shard, weight
		}
	}
	return best
}

// StreamName returns the name of a shard's log stream.
func StreamName(shard int) string {
	return "ledger-" + strconv.Itoa(shard)
}
