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
	// promptWait is how long a request rather waits for its own entry's terms than
	// asks other entries: a part of the most urgent goal.
	promptWait = 150 * time.Millisecond
	// borrowTimeout bounds one request to a peer: many times an exchange between
	// two failure domains.
	borrowTimeout = 60 * time.Millisecond
	// mostAsked is how many peers are asked for one request, and longestBorrow for
	// how long: a quarter of the most urgent goal.
	mostAsked     = 8
	longestBorrow = 250 * time.Millisecond
	// avoidTime is how long a peer that gave too little or no answer is not asked.
	avoidTime = 500 * time.Millisecond
)

// Counters of tokens that went between entries.
const (
	tokensBorrowed = "crocusline_tokens_borrowed_total"
	tokensLent     = "crocusline_tokens_lent_total"
)

// Peers are the other entries.
type Peers interface {
	// Borrow asks the entry at the address for tokens of a workspace, and returns
	// how many it gave.
	Borrow(ctx context.Context, peer netip.AddrPort, workspace string, tokens int64) (int64, error)
}

// WithPeers borrows from other entries, and lends to those at the address.
func WithPeers(peers Peers, address netip.AddrPort) Option {
	return func(s *Service) { s.peers, s.address = peers, address }
}

// WithMetrics counts in the set.
func WithMetrics(set *metric.Set) Option { return func(s *Service) { s.metrics = set } }

// Lend gives up to that many tokens of the workspace to another entry.
func (s *Service) Lend(workspace string, tokens int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, known := s.purses[workspace]
	if !known || tokens <= 0 {
		return 0
	}
	lent := p.Lend(time.Now(), tokens)
	s.metrics.Counter(tokensLent).AddInt64(lent)
	s.log.Debug("tokens lent", "workspace", workspace, "asked", tokens, "lent", lent)
	return lent
}

// borrow asks peers for what a request lacks, and reports whether they gave it.
// While the store is away the entries still reach each other.
func (s *Service) borrow(ctx context.Context, log hclog.Logger, w route.Workspace, tokens int64) bool {
	if s.peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, longestBorrow)
	defer cancel()
	for asked := 0; ; asked++ {
		lender, lack := s.lender(w, tokens, mostAsked-asked)
		if lack <= 0 || lender == nil || ctx.Err() != nil {
			return lack <= 0
		}
		s.ask(ctx, log, w, *lender, lack)
	}
}

// lender returns what a request lacks and a peer to ask for it, or nil if so many
// peers together probably have less.
func (s *Service) lender(w route.Workspace, tokens int64, most int) (*prepaid.Lender, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lack := s.purse(w, now).Shortfall(now, tokens)
	lenders := s.accounts[w.Name].Lenders(s.instance, s.reporter.follower.Age())
	lenders = slices.DeleteFunc(lenders, func(l prepaid.Lender) bool {
		return now.Before(s.avoided[l.Instance]) || now.Before(s.avoided[recordKey(w.Name, l.Instance)])
	})
	if lenders = prepaid.SelectLenders(lenders, lack, most); len(lenders) == 0 {
		return nil, lack
	}
	// Requests at several entries don't all turn to the same one.
	return &lenders[rand.IntN(len(lenders))], lack
}

// ask borrows from one peer.
func (s *Service) ask(ctx context.Context, log hclog.Logger, w route.Workspace, l prepaid.Lender, lack int64) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	began := time.Now()
	got, err := s.peers.Borrow(ctx, l.PeerAddress, w.Name, lack)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.avoided[l.Instance] = time.Now().Add(avoidTime)
		log.Info("peer did not answer", "peer", l.Instance, "address", l.PeerAddress, "error", err)
		return
	}
	if got < lack {
		s.avoided[recordKey(w.Name, l.Instance)] = time.Now().Add(avoidTime)
	}
	// A peer can't make this entry spend more than it asked for.
	got = max(0, min(got, lack))
	s.purses[w.Name].Borrow(got)
	s.metrics.Counter(tokensBorrowed).AddInt64(got)
	log.Info("tokens borrowed", "peer", l.Instance, "asked", lack, "borrowed", got, "expected", l.Free,
		"accountsAge", s.reporter.follower.Age().Round(time.Millisecond), "took", time.Since(began).Round(time.Millisecond))
}
