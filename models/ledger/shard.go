package ledger

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of virtual buckets that workspaces hash to. Buckets are
// assigned to shards as wholes, so that a new shard moves only the buckets that
// it takes over.
const Buckets = 1024

// BucketOf returns the virtual bucket of a workspace.
func BucketOf(workspace string) int {
	return int(xxhash.Sum64String(workspace) % Buckets)
}

// ShardOf returns the shard of a workspace among count shards, which own equal
// runs of buckets.
func ShardOf(workspace string, count int) int {
	return BucketOf(workspace) * count / Buckets
}

// StreamOf returns the name of a shard's log stream.
func StreamOf(shard int) string {
	return "ledger-" + strconv.Itoa(shard)
}
