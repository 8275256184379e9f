package ledger_test

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusline/crocusline/models/ledger"
)

// workspaceCount is the number of continuously active workspaces in a system of
// full size.
const workspaceCount = 3900

// placement is an algorithm that assigns a workspace to one of count shards.
type placement struct {
	name string
	// shardOf returns the shard of a workspace.
	shardOf func(workspace string, count int) int
}

func placements() []placement {
	return []placement{
		{"modulo", func(workspace string, count int) int {
			return int(xxhash.Sum64String(workspace) % uint64(count))
		}},
		{"bucket ranges", func(workspace string, count int) int {
			return bucketOf(workspace) * count / bucketCount
		}},
		{"bucket table", func(workspace string, count int) int {
			return bucketTable(count)[bucketOf(workspace)]
		}},
		{"rendezvous", ledger.ShardOf},
	}
}

// bucketCount is the number of virtual buckets in the bucket-based placements.
const bucketCount = 1024

func bucketOf(workspace string) int { return int(xxhash.Sum64String(workspace) % bucketCount) }

var bucketTables = map[int][]int{}

// bucketTable returns the shard of each bucket. Starting with one shard, each
// added shard takes an even share of buckets from the shards that have the most.
func bucketTable(count int) []int {
	if bucketTables[count] != nil {
		return bucketTables[count]
	}
	table := make([]int, bucketCount)
	held := make([]int, count)
	held[0] = bucketCount
	for shard := 1; shard < count; shard++ {
		for held[shard] < bucketCount/(shard+1) {
			from := slices.Index(held, slices.Max(held[:shard]))
			table[slices.Index(table, from)] = shard
			held[from]--
			held[shard]++
		}
	}
	bucketTables[count] = table
	return table
}

// movedShare returns the share of the workspaces that change their shard when
// the number of shards changes.
func movedShare(p placement, from, to int) float64 {
	moved := 0
	for i := range workspaceCount {
		workspace := fmt.Sprintf("workspace-%d", i)
		if p.shardOf(workspace, from) != p.shardOf(workspace, to) {
			moved++
		}
	}
	return float64(moved) / workspaceCount
}

// imbalance returns the ratio of the largest shard to the mean, in workspaces.
func imbalance(p placement, count int) float64 {
	held := make([]int, count)
	largest := 0
	for i := range workspaceCount {
		shard := p.shardOf(fmt.Sprintf("workspace-%d", i), count)
		held[shard]++
		largest = max(largest, held[shard])
	}
	return float64(largest) * float64(count) / workspaceCount
}

// TestPlacements logs how the placement algorithms compare.
func TestPlacements(t *testing.T) {
	t.Logf("%-16s %8s %8s %8s %8s   %s", "", "4 to 5", "16 to 17", "17 to 16", "16 to 24", "max/mean at 4, 16, 24")
	for _, p := range placements() {
		t.Logf("%-16s %8.3f %8.3f %8.3f %8.3f   %.3f %.3f %.3f", p.name,
			movedShare(p, 4, 5), movedShare(p, 16, 17), movedShare(p, 17, 16), movedShare(p, 16, 24),
			imbalance(p, 4), imbalance(p, 16), imbalance(p, 24))
	}
}

func TestShardOfMovesOnlyToNewShards(t *testing.T) {
	for count := 1; count < 32; count++ {
		moved := 0
		for i := range workspaceCount {
			workspace := fmt.Sprintf("workspace-%d", i)
			from, to := ledger.ShardOf(workspace, count), ledger.ShardOf(workspace, count+1)
			if from == to {
				continue
			}
			moved++
			if to != count {
				t.Fatalf("%s moves from shard %d to %d of %d", workspace, from, to, count+1)
			}
		}
		expected := workspaceCount / float64(count+1)
		if math.Abs(float64(moved)-expected) > 0.35*expected {
			t.Errorf("%d workspaces moved on growth to %d shards, want about %.0f", moved, count+1, expected)
		}
	}
}

func TestShardOfUsesAllShards(t *testing.T) {
	for _, count := range []int{1, 4, 16, 256} {
		used := map[int]int{}
		for i := range 20 * count {
			shard := ledger.ShardOf(strconv.Itoa(i), count)
			if shard < 0 || shard >= count {
				t.Fatalf("shard %d of %d", shard, count)
			}
			used[shard]++
		}
		if len(used) != count {
			t.Errorf("%d of %d shards used", len(used), count)
		}
	}
}
