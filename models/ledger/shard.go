package ledger

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ShardOf returns the shard of a workspace among count shards, by rendezvous
// hashing: a shard that is added takes over workspaces, and all others stay.
func ShardOf(workspace string, count int) int {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], xxhash.Sum64String(workspace))
	best, most := 0, uint64(0)
	for shard := range count {
		binary.LittleEndian.PutUint64(key[8:], uint64(shard))
		if weight := xxhash.Sum64(key[:]); weight >= most {
			best, most = shard, weight
		}
	}
	return best
}

// StreamName returns the name of a shard's log stream.
func StreamName(shard int) string {
	return "ledger-" + strconv.Itoa(shard)
}
