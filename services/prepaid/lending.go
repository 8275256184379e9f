package prepaid

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/modules/metric"
)

const (
	// waitBeforeBorrowing is how long a request waits for the gateway's own spending limit
	// rather than borrow from other gateways: a part of the shortest latency goal.
	waitBeforeBorrowing = 150 * time.Millisecond
	// borrowTimeout is the timeout of one request to a peer: many times a round trip
	// between two failure domains.
	borrowTimeout = 60 * time.Millisecond
	// maxLendersAsked is the maximum number of peers asked to lend for one request, and
	// maxBorrowDuration the maximum time for it: a quarter of the shortest latency goal.
	maxLendersAsked   = 8
	maxBorrowDuration = 250 * time.Millisecond
	// avoidDuration is how long no tokens are borrowed from a peer that lent too few or did
	// not respond.
	avoidDuration = 500 * time.Millisecond
)

// Counters of tokens transferred between gateways.
const (
	tokensBorrowed = "crocusline_tokens_borrowed_total"
	tokensLent     = "crocusline_tokens_lent_total"
)

// Peers sends requests to the other gateways.
type Peers interface {
	// Borrow requests tokens of a workspace from the gateway at the address, and
	// returns how many it lent.
	Borrow(ctx context.Context, peer netip.AddrPort, workspace string, tokens int64) (int64, error)
}

// WithPeers enables loans between gateways. The address is where this gateway lends.
func WithPeers(peers Peers, address netip.AddrPort) Option {
	return func(s *Service) { s.peers, s.peerAddress = peers, address }
}

// WithMetrics sets where the service's metrics are registered.
func WithMetrics(set *metric.Set) Option { return func(s *Service) { s.metrics = set } }

// Lend lends up to this number of the workspace's tokens to another gateway, and
// returns how many it lent.
func (s *Service) Lend(workspace string, tokens int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, exists := s.budgets[workspace]
	if !exists || tokens <= 0 {
		return 0
	}
	lent := b.Lend(time.Now(), tokens)
	s.metrics.Counter(tokensLent).AddInt64(lent)
	s.log.Debug("tokens lent", "workspace", workspace, "asked", tokens, "lent", lent)
	return lent
}

// borrow borrows the tokens that a request lacks from peers, and reports whether they
// lent enough. Gateways can reach each other while the store is unreachable.
func (s *Service) borrow(ctx context.Context, log hclog.Logger, w route.Workspace, tokens int64) bool {
	if s.peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, maxBorrowDuration)
	defer cancel()
	for tried := 0; ; tried++ {
		lender, shortfall := s.nextLender(w, tokens, maxLendersAsked-tried)
		if shortfall <= 0 || lender == nil || ctx.Err() != nil {
			return shortfall <= 0
		}
		s.borrowFrom(ctx, log, w, *lender, shortfall)
	}
}

// nextLender returns the shortfall of a request and a peer to borrow it from. The peer
// is nil if the best peers, up to limit of them, together probably have too few tokens.
func (s *Service) nextLender(w route.Workspace, tokens int64, limit int) (*prepaid.Lender, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	shortfall := s.budget(w, now).Shortfall(now, tokens)
	lenders := s.accounts[w.Name].Lenders(s.instance, s.reportWriter.follower.Age())
	lenders = slices.DeleteFunc(lenders, func(l prepaid.Lender) bool {
		return now.Before(s.avoidedUntil[l.Instance]) || now.Before(s.avoidedUntil[recordKey(w.Name, l.Instance)])
	})
	if lenders = prepaid.SelectLenders(lenders, shortfall, limit); len(lenders) == 0 {
		return nil, shortfall
	}
	// The choice is random, so that concurrent requests at several gateways don't all
	// borrow from the same peer.
	return &lenders[rand.IntN(len(lenders))], shortfall
}

func (s *Service) borrowFrom(ctx context.Context, log hclog.Logger, w route.Workspace, l prepaid.Lender, shortfall int64) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	start := time.Now()
	lent, err := s.peers.Borrow(ctx, l.PeerAddress, w.Name, shortfall)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.avoidedUntil[l.Instance] = time.Now().Add(avoidDuration)
		log.Info("peer did not respond", "peer", l.Instance, "address", l.PeerAddress, "error", err)
		return
	}
	if lent < shortfall {
		s.avoidedUntil[recordKey(w.Name, l.Instance)] = time.Now().Add(avoidDuration)
	}
	// A response can't make this gateway spend more than it requested.
	lent = max(0, min(lent, shortfall))
	s.budgets[w.Name].Borrow(lent)
	s.metrics.Counter(tokensBorrowed).AddInt64(lent)
	log.Info("tokens borrowed", "peer", l.Instance, "asked", shortfall, "borrowed", lent, "expected", l.Free,
		"accountsAge", s.reportWriter.follower.Age().Round(time.Millisecond), "took", time.Since(start).Round(time.Millisecond))
}
