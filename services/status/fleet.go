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

// peerClient asks over the peer protocol.
type peerClient struct {
	client *http.Client
}

// NewPeerClient returns Peers that speak the peer protocol over the client.
func NewPeerClient(client *http.Client) PeerClient {
	return &peerClient{client: client}
}

// Status implements Peers.
func (p *peerClient) Status(ctx context.Context, address netip.AddrPort) (*operatorv1.StatusResponse, error) {
	client := operatorv1connect.NewStatusServiceClient(p.client, peer.URL(address))
	resp, err := client.Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return resp.Msg, nil
}

// Alive says whether the incarnation itself answers at its address.
func (s *Service) Alive(ctx context.Context, m fleet.Member) bool {
	if s.peers == nil {
		return false
	}
	status, err := s.peers.Status(ctx, m.Address)
	return err == nil && status.GetIncarnation() == m.Incarnation
}

// Fleet returns the state of all processes that answer in time, and of what
// they share.
func (s *Service) Fleet(ctx context.Context) *operatorv1.FleetResponse {
	state := s.control.State()
	answers, unreachable := s.askMembers(ctx)
	answers = append(answers, s.Status())
	slices.SortFunc(answers, byName)
	resp := &operatorv1.FleetResponse{
		Instances:    answers,
		Pools:        pools(state, answers),
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

// askMembers asks the other members at once, but no more than parallel of them.
func (s *Service) askMembers(ctx context.Context) (answers []*operatorv1.StatusResponse, unreachable []string) {
	if s.peers == nil {
		return nil, nil
	}
	members := s.sortedMembers()
	found := make([]*operatorv1.StatusResponse, len(members))
	var group errgroup.Group
	group.SetLimit(s.parallel)
	for i, m := range members {
		group.Go(func() error {
			found[i] = s.askMember(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
	for i, m := range members {
		if found[i] == nil {
			unreachable = append(unreachable, m.Incarnation)
			continue
		}
		answers = append(answers, found[i])
	}
	return answers, unreachable
}

// askMember returns nil when the member, or its successor at the same address,
// does not answer.
func (s *Service) askMember(ctx context.Context, m fleet.Member) *operatorv1.StatusResponse {
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
	all, err := s.ledger.Budgets(ctx)
	if err != nil {
		return nil, errors.WithMessage(err, "read the budgets")
	}
	var list []*peerv1.Budget
	for _, b := range all {
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

// pools returns each pool with what its servers' sidecars answered.
func pools(state *fleet.State, answers []*operatorv1.StatusResponse) []*operatorv1.PoolStatus {
	beside := map[string]*operatorv1.StatusResponse{}
	for _, a := range answers {
		if a.GetServer() != "" {
			beside[a.GetServer()] = a
		}
	}
	var list []*operatorv1.PoolStatus
	for _, name := range slices.Sorted(maps.Keys(state.Tables.Pools)) {
		pool := &operatorv1.PoolStatus{Name: name}
		for _, server := range state.Tables.Pools[name].Servers {
			pool.Servers = append(pool.Servers, serverStatus(state.Tables, server, beside[server]))
		}
		list = append(list, pool)
	}
	return list
}

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
