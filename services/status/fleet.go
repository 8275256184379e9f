package status

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/modules/peer"
	operatorv1 "github.com/crocusline/crocusline/modules/wire/operator/v1"
	"github.com/crocusline/crocusline/modules/wire/operator/v1/operatorv1connect"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
)

// statusClient is a PeerClient that uses the peer protocol.
type statusClient struct {
	client *http.Client
}

// NewPeerClient returns a PeerClient that uses the peer protocol over the HTTP client.
func NewPeerClient(client *http.Client) PeerClient {
	return &statusClient{client: client}
}

// Status implements PeerClient.
func (c *statusClient) Status(ctx context.Context, address netip.AddrPort) (*operatorv1.StatusResponse, error) {
	client := operatorv1connect.NewStatusServiceClient(c.client, peer.URL(address))
	resp, err := client.Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return resp.Msg, nil
}

// Alive reports whether the process at the member's address responds and is the same
// incarnation.
func (s *Service) Alive(ctx context.Context, m fleet.Member) bool {
	if s.peers == nil {
		return false
	}
	status, err := s.peers.Status(ctx, m.Address)
	return err == nil && status.GetIncarnation() == m.Incarnation
}

// Fleet returns the status of the fleet: that of each process that responds in time,
// the pools, the ledger shards and the budgets.
func (s *Service) Fleet(ctx context.Context) *operatorv1.FleetResponse {
	state := s.control.State()
	instances, unreachable := s.pollMembers(ctx)
	instances = append(instances, s.Status())
	slices.SortFunc(instances, compareInstances)
	resp := &operatorv1.FleetResponse{
		Instances:    instances,
		Pools:        pools(state, instances),
		Shards:       shards(state),
		Unreachable:  unreachable,
		TableVersion: state.Version(),
	}
	budgets, err := s.budgets(ctx)
	if err != nil {
		resp.Problems = append(resp.Problems, err.Error())
	}
	resp.Budgets = budgets
	return resp
}

// pollMembers requests the status of the other members, maxPolls of them at a time.
// It returns the incarnations that did not respond as unreachable.
func (s *Service) pollMembers(ctx context.Context) (statuses []*operatorv1.StatusResponse, unreachable []string) {
	if s.peers == nil {
		return nil, nil
	}
	members := s.otherMembers()
	polled := make([]*operatorv1.StatusResponse, len(members))
	var group errgroup.Group
	group.SetLimit(s.maxPolls)
	for i, m := range members {
		group.Go(func() error {
			polled[i] = s.pollMember(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
	for i, m := range members {
		if polled[i] == nil {
			unreachable = append(unreachable, m.Incarnation)
			continue
		}
		statuses = append(statuses, polled[i])
	}
	return statuses, unreachable
}

// pollMember returns the member's status. It returns nil if there is no response in
// time or if it comes from another incarnation at the same address.
func (s *Service) pollMember(ctx context.Context, m fleet.Member) *operatorv1.StatusResponse {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	status, err := s.peers.Status(ctx, m.Address)
	if err != nil || status.GetIncarnation() != m.Incarnation {
		return nil
	}
	return status
}

func (s *Service) budgets(ctx context.Context) ([]*peerv1.Budget, error) {
	if s.ledger == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	budgets, err := s.ledger.Budgets(ctx)
	if err != nil {
		return nil, errors.WithMessage(err, "read the budgets")
	}
	var list []*peerv1.Budget
	for _, b := range budgets {
		list = append(list, &peerv1.Budget{
			Workspace:   b.Workspace,
			ToppedUp:    b.ToppedUp,
			Settled:     b.Settled,
			Outstanding: b.Outstanding,
			Bills:       b.Bills,
		})
	}
	return list, nil
}

// pools returns the status of each pool and of its servers, from the status of their
// sidecars.
func pools(state *fleet.State, instances []*operatorv1.StatusResponse) []*operatorv1.PoolStatus {
	sidecars := map[string]*operatorv1.StatusResponse{}
	for _, i := range instances {
		if i.GetServer() != "" {
			sidecars[i.GetServer()] = i
		}
	}
	var list []*operatorv1.PoolStatus
	for _, name := range slices.Sorted(maps.Keys(state.Tables.Pools)) {
		pool := &operatorv1.PoolStatus{Name: name}
		for _, server := range state.Tables.Pools[name].Servers {
			pool.Servers = append(pool.Servers, serverStatus(state.Tables, server, sidecars[server]))
		}
		list = append(list, pool)
	}
	return list
}

// serverStatus returns the status of a server. The sidecar is nil if it did not
// respond.
func serverStatus(tables *table.Tables, server string, sidecar *operatorv1.StatusResponse) *operatorv1.ServerStatus {
	return &operatorv1.ServerStatus{
		Name:      server,
		Draining:  tables.HasPlannedStop(server) || sidecar.GetLoad().GetDraining(),
		Reachable: sidecar != nil,
		Load:      sidecar.GetLoad(),
	}
}

func shards(state *fleet.State) []*operatorv1.ShardStatus {
	var list []*operatorv1.ShardStatus
	for _, shard := range slices.Sorted(maps.Keys(state.Owners)) {
		owner := state.Owners[shard]
		list = append(list, &operatorv1.ShardStatus{Shard: int32(shard), Owner: owner.Incarnation, Epoch: owner.Epoch})
	}
	return list
}
