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
	defaultPeerPollInterval = time.Second
	// peerTimeout bounds the request for a peer's state.
	peerTimeout = time.Second
	// readWait is how long a read of the log waits for new records.
	readWait = time.Second
	// logUnresponsiveAfter is how long the log may not respond before peers are polled.
	// A read that hangs is reported as failed only much later.
	logUnresponsiveAfter = readWait + 500*time.Millisecond
)

// PeerClient reads the fleet's state from a peer.
type PeerClient interface {
	// Current returns the state of the peer, or nil if the peer's state is not beyond
	// the offset next of the control stream.
	Current(ctx context.Context, address netip.AddrPort, next int64) (*fleet.State, error)
}

// rpcPeerClient is a PeerClient over the peer protocol.
type rpcPeerClient struct {
	client *http.Client
}

// NewPeerClient returns a PeerClient that uses the peer protocol over the HTTP client.
func NewPeerClient(client *http.Client) PeerClient {
	return &rpcPeerClient{client: client}
}

// Current implements PeerClient.
func (p *rpcPeerClient) Current(ctx context.Context, address netip.AddrPort, next int64) (*fleet.State, error) {
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

// pollPeers polls the peers in turn while the log does not respond. Processes start at
// different peers, since in an outage all of them poll at once.
func (s *Service) pollPeers(ctx context.Context) {
	ticker := time.NewTicker(s.pollInterval)
	defer ticker.Stop()
	for next := rendezvousHash(0, s.member.Incarnation); ; next++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if st := s.stream.Status(); st.Reachable && time.Since(st.LastReadAt) < logUnresponsiveAfter {
			continue
		}
		if peers := s.peers(); len(peers) > 0 {
			s.pollPeer(ctx, peers[next%uint64(len(peers))])
		}
	}
}

func (s *Service) pollPeer(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.counters.peerPolls.Inc()
	state, err := s.peerClient.Current(ctx, address, s.State().Next)
	if err != nil {
		s.counters.peerErrors.Inc()
		s.log.Debug("peer poll failed", "peer", address, "error", err)
		return
	}
	if state != nil {
		s.advance(state)
	}
}

// peers returns the addresses of the seeds and of the other registered entry instances.
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
