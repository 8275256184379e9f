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

// workspaceCount is the number of workspaces in steady use at full size.
const workspaceCount = 3900

// placement puts a workspace on one of count shards.
type placement struct {
	name string
	at   func(workspace string, count int) int
}

func placements() []placement {
	return []placement{
		{"modulo", func(workspace string, count int) int {
			return int(xxhash.Sum64String(workspace) % uint64(count))
		}},
		{"runs of buckets", func(workspace string, count int) int {
			return bucketOf(workspace) * count / buckets
		}},
		{"bucket table", func(workspace string, count int) int {
			return bucketTable(count)[bucketOf(workspace)]
		}},
		{"rendezvous", ledger.ShardOf},
	}
}

// buckets is the number of virtual buckets of the ways that use them.
const buckets = 1024

func bucketOf(workspace string) int { return int(xxhash.Sum64String(workspace) % buckets) }

var bucketTables = map[int][]int{}

// bucketTable returns the shard of each bucket. It is built from the table of one
// shard by adding shards, each of which takes its part from those with the most.
func bucketTable(count int) []int {
	if bucketTables[count] != nil {
		return bucketTables[count]
	}
	table := make([]int, buckets)
	held := make([]int, count)
	held[0] = buckets
	for shard := 1; shard < count; shard++ {
		for held[shard] < buckets/(shard+1) {
			from := slices.Index(held, slices.Max(held[:shard]))
			table[slices.Index(table, from)] = shard
			held[from]--
			held[shard]++
		}
	}
	bucketTables[count] = table
	return table
}

// moves returns the share of the workspaces that another shard has after shards
// were added or taken away.
func moves(p placement, from, to int) float64 {
	moved := 0
	for i := range workspaceCount {
		workspace := fmt.Sprintf("workspace-%d", i)
		if p.at(workspace, from) != p.at(workspace, to) {
			moved++
		}
	}
	return float64(moved) / workspaceCount
}

// imbalance returns the most workspaces of a shard over the mean.
func imbalance(p placement, count int) float64 {
	held := make([]int, count)
	most := 0
	for i := range workspaceCount {
		shard := p.at(fmt.Sprintf("workspace-%d", i), count)
		held[shard]++
		most = max(most, held[shard])
	}
	return float64(most) * float64(count) / workspaceCount
}

// TestPlacements measures the ways to put workspaces on shards.
func TestPlacements(t *testing.T) {
	t.Logf("%-16s %8s %8s %8s %8s   %s", "", "4 to 5", "16 to 17", "17 to 16", "16 to 24", "max/mean at 4, 16, 24")
	for _, p := range placements() {
		t.Logf("%-16s %8.3f %8.3f %8.3f %8.3f   %.3f %.3f %.3f", p.name,
			moves(p, 4, 5), moves(p, 16, 17), moves(p, 17, 16), moves(p, 16, 24),
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
		fair := workspaceCount / float64(count+1)
		if math.Abs(float64(moved)-fair) > 0.35*fair {
			t.Errorf("%d workspaces move at %d shards, fair are %.0f", moved, count+1, fair)
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
