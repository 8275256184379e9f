package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/table"
)

// Names of the measures of the control stream and placement.
const (
	stateWorkspace    = "stateWorkspace"
	stateMember       = "stateMember"
	changeBytes       = "changeBytes"
	memberBytes       = "memberBytes"
	changeTime        = "changeTime"
	snapshotWorkspace = "snapshotWorkspace"
	snapshotMember    = "snapshotMember"
	placementServer   = "placementServer"
)

// fleetMeasures returns the measures of the control stream and of server selection.
func fleetMeasures() []Measure {
	return []Measure{
		{stateWorkspace, "heap of the tables", "B", "workspace", []int{500, 1000, 2000, 4000}, func(_ context.Context, n int) (float64, error) {
			return heapSize(func() (any, error) { return withWorkspaces(fleet.New(), n), nil })
		}},
		{stateMember, "heap of the member list", "B", "member", []int{125, 250, 500, 1000}, func(_ context.Context, n int) (float64, error) {
			return heapSize(func() (any, error) { return withMembers(fleet.New(), n), nil })
		}},
		{changeBytes, "size of a publication", "B", "workspace changed", []int{1, 2, 4, 8}, func(_ context.Context, n int) (float64, error) {
			data, err := fleet.EncodeEvent(newPublication(0, n))
			return float64(len(data)), err
		}},
		{memberBytes, "size of a registration, by members in one record", "B", "member", []int{1, 2, 4, 8}, func(_ context.Context, n int) (float64, error) {
			total := 0
			for i := range n {
				data, err := fleet.EncodeEvent(fleet.Register{Member: newMember(i)})
				if err != nil {
					return 0, err
				}
				total += len(data)
			}
			return float64(total), nil
		}},
		{changeTime, "time to apply a publication", "us", "workspace in the tables", []int{500, 1000, 2000, 4000}, func(_ context.Context, n int) (float64, error) {
			state := withWorkspaces(fleet.New(), n)
			event := newPublication(state.Version(), 1)
			return minMicroseconds(func() { state.Apply(state.Next, time.Unix(0, 0), event) }), nil
		}},
		{snapshotWorkspace, "size of a control checkpoint", "B", "workspace", []int{500, 1000, 2000, 4000}, func(_ context.Context, n int) (float64, error) {
			data, err := withWorkspaces(fleet.New(), n).Snapshot()
			return float64(len(data)), err
		}},
		{snapshotMember, "size of a control checkpoint", "B", "member", []int{125, 250, 500, 1000}, func(_ context.Context, n int) (float64, error) {
			data, err := withMembers(fleet.New(), n).Snapshot()
			return float64(len(data)), err
		}},
		{placementServer, "heap of an entry's placement", "B", "server", []int{75, 150, 300, 600}, func(_ context.Context, n int) (float64, error) {
			return heapSize(func() (any, error) { return placementWithLoads(n), nil })
		}},
	}
}

// withWorkspaces returns the state after n workspaces are published.
func withWorkspaces(s *fleet.State, n int) *fleet.State {
	next, _ := s.Apply(s.Next, time.Unix(0, 0), newPublication(s.Version(), n))
	return next
}

// newPublication returns an event that publishes n workspaces.
func newPublication(base int64, n int) fleet.Event {
	delta := table.Delta{Base: base, Workspaces: map[string]table.Workspace{}}
	for i := range n {
		name := fmt.Sprintf("workspace-%04d", i)
		delta.Workspaces[name] = table.Workspace{Tokens: []string{table.HashToken(name)}, Weight: 1}
	}
	return fleet.Publish{ID: "01a23f0a-3c57-7989-8d36-800c2665efa1", By: "operator", Delta: delta}
}

// withMembers returns the state after n members are registered.
func withMembers(s *fleet.State, n int) *fleet.State {
	for i := range n {
		s, _ = s.Apply(s.Next, time.Unix(0, 0), fleet.Register{Member: newMember(i)})
	}
	return s
}

func newMember(i int) fleet.Member {
	name := fmt.Sprintf("model-%04d", i)
	return fleet.Member{
		Incarnation:   name + "-sidecar/01a23f0a-3c57-7989-8d36-800c2665efa1",
		Role:          fleet.Sidecar,
		Name:          name + "-sidecar",
		Server:        name,
		Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7102),
		Region:        "region-1",
		FailureDomain: "domain-1",
	}
}

// placementWithLoads returns a selector with n servers that have reported a load.
func placementWithLoads(n int) *placement.Selector {
	p := placement.New(placement.WithRand(rand.New(rand.NewPCG(1, 2))))
	servers := make([]placement.Server, n)
	for i := range servers {
		m := newMember(i)
		servers[i] = placement.Server{Name: m.Server, FailureDomain: m.FailureDomain, Region: m.Region}
	}
	p.SetServers(servers)
	for _, s := range servers {
		p.ObserveLoad(time.Unix(0, 0), s.Name, queue.Load{Running: 1, Slots: 16})
	}
	return p
}
