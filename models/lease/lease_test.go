package lease_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/lease"
)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("entry-%d", i)
	}
	return all
}

func TestAddedNameMovesOnlyItsShards(t *testing.T) {
	before, after := names(9), names(10)
	for shard := range 1000 {
		from, to := lease.Order(shard, before)[0], lease.Order(shard, after)[0]
		if from != to && to != "entry-9" {
			t.Fatalf("shard %d moved from %s to %s", shard, from, to)
		}
	}
}

func TestFirstAndRankMatchOrder(t *testing.T) {
	all := names(5)
	for shard := range 100 {
		if got, want := lease.First(strconv.Itoa(shard), all), lease.Order(shard, all)[0]; got != want {
			t.Fatalf("shard %d: first is %s, want %s", shard, got, want)
		}
	}
	for rank, name := range lease.Order(7, all) {
		if got := lease.Rank(7, name, all); got != rank {
			t.Errorf("%s has rank %d, want %d", name, got, rank)
		}
	}
	if got := lease.First("x", nil); got != "" {
		t.Errorf("first of no names is %q, want an empty string", got)
	}
}

func TestMonitor(t *testing.T) {
	start := time.Unix(0, 0)
	m := lease.NewMonitor(start, 3*time.Second)
	steps := []struct {
		after     time.Duration
		candidacy lease.Candidacy
		want      lease.Action
	}{
		{0, lease.Candidacy{Rank: 0, Owned: true}, lease.Probe{}},
		{time.Second / 2, lease.Candidacy{Rank: 0, Owned: true}, lease.Wait{}},
		{time.Second, lease.Candidacy{Rank: 0, Owned: true}, lease.Probe{}},
		{3 * time.Second, lease.Candidacy{Rank: 1, Owned: true}, lease.Probe{}},
		{3 * time.Second, lease.Candidacy{Rank: 0, Owned: true}, lease.Claim{}},
		{3 * time.Second, lease.Candidacy{Rank: 1, Owned: false}, lease.Claim{}},
		{3 * time.Second, lease.Candidacy{Rank: 2, Owned: false}, lease.Wait{}},
		{6 * time.Second, lease.Candidacy{Rank: 1, Owned: true}, lease.Claim{}},
		{6 * time.Second, lease.Candidacy{Rank: lease.MaxCandidates, Owned: false}, lease.Wait{}},
	}
	for _, s := range steps {
		if got := m.Next(start.Add(s.after), s.candidacy); got != s.want {
			t.Fatalf("after %s as %+v: %T, want %T", s.after, s.candidacy, got, s.want)
		}
	}
}

func TestMonitorHandlesOwnerResponses(t *testing.T) {
	start := time.Unix(0, 0)
	m := lease.NewMonitor(start, 3*time.Second)
	m.Reset(start.Add(2 * time.Second))
	if got := m.Next(start.Add(4*time.Second), lease.Candidacy{Owned: true}); got != (lease.Probe{}) {
		t.Fatalf("%T after the owner responded, want Probe", got)
	}
	m.OwnerResigned()
	if got := m.Next(start.Add(4*time.Second), lease.Candidacy{Owned: true}); got != (lease.Claim{}) {
		t.Fatalf("%T after the owner resigned, want Claim", got)
	}
}
