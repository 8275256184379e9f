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
	// readWait is how long a read of the log waits for a change.
	readWait = time.Second
	// silence is how long the log may leave a read without an answer before
	// peers are asked. A read that hangs fails only much later.
	silence = readWait + 500*time.Millisecond
)

// PeerClient asks a peer for the fleet's state.
type PeerClient interface {
	// Current returns the state of the peer, or nil if it holds no more of the
	// control stream than the caller, who holds it up to the offset next.
	Current(ctx context.Context, address netip.AddrPort, next int64) (*fleet.State, error)
}

// peerSource asks over the peer protocol.
type peerSource struct {
	client *http.Client
}

// NewPeerClient returns a source that speaks the peer protocol over the client.
func NewPeerClient(client *http.Client) PeerClient {
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

// askPeers asks one peer after the other while the log doesn't answer. Processes
// begin at different peers, since an outage makes all of them ask at once.
func (s *Service) askPeers(ctx context.Context) {
	ticker := time.NewTicker(s.pace)
	defer ticker.Stop()
	for turn := score(0, s.member.Incarnation); ; turn++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if st := s.stream.Status(); st.Reachable && time.Since(st.Answered) < silence {
			continue
		}
		if peers := s.peers(); len(peers) > 0 {
			s.ask(ctx, peers[turn%uint64(len(peers))])
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
