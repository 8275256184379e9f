package control

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/modules/peer"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
)

const (
	defaultAskInterval = time.Second
	askTimeout         = time.Second
)

// Source asks a peer for the fleet's state.
type Source interface {
	// Current returns the state of the peer, or nil if it holds no more of the
	// control stream than the caller, who holds it up to the offset next.
	Current(ctx context.Context, address netip.AddrPort, next int64) (*fleet.State, error)
}

// peerSource asks over the peer protocol.
type peerSource struct {
	client *http.Client
}

// NewPeerSource returns a source that speaks the peer protocol over the client.
func NewPeerSource(client *http.Client) Source {
	return &peerSource{client: client}
}

// Current implements Source.
func (p *peerSource) Current(ctx context.Context, address netip.AddrPort, next int64) (*fleet.State, error) {
	client := peerv1connect.NewTableServiceClient(p.client, peer.URL(address))
	resp, err := client.Current(ctx, connect.NewRequest(&peerv1.CurrentRequest{Next: next}))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(resp.Msg.GetState()) == 0 {
		return nil, nil
	}
	return fleet.Restore(resp.Msg.GetState())
}

// askPeers asks one peer after the other while the log can't be read.
func (s *Service) askPeers(ctx context.Context) {
	ticker := time.NewTicker(s.pace)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if s.Reachable() {
			continue
		}
		if peers := s.peers(); len(peers) > 0 {
			s.ask(ctx, peers[turn%len(peers)])
		}
	}
}

func (s *Service) ask(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s.counters.asked.Inc()
	state, err := s.source.Current(ctx, address, s.State().Next)
	if err != nil {
		s.counters.askErrors.Inc()
		s.log.Debug("peer gave no tables", "peer", address, "error", err)
		return
	}
	if state != nil {
		s.adopt(state)
	}
}

// peers returns the addresses of the seeds and of the other entries known.
func (s *Service) peers() []netip.AddrPort {
	peers := slices.Clone(s.seeds)
	for _, m := range s.State().Members {
		if m.Role == fleet.Entry {
			peers = append(peers, m.Address)
		}
	}
	slices.SortFunc(peers, netip.AddrPort.Compare)
	peers = slices.Compact(peers)
	return slices.DeleteFunc(peers, func(a netip.AddrPort) bool { return a == s.member.Address })
}
