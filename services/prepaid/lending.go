package prepaid

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
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
	// borrowTimeout is how long a request waits for the response of a peer, without the time
	// that the peer may wait: many times a round trip between two failure domains.
	borrowTimeout = 100 * time.Millisecond
	// lateLoanTimeout is how long a response is awaited that no request waits for any more.
	lateLoanTimeout = 2 * time.Second
	// maxLendersAsked is the maximum number of peers asked for free tokens for one request,
	// and maxBorrowDuration the maximum time for it: a quarter of the shortest latency goal.
	maxLendersAsked   = 8
	maxBorrowDuration = 250 * time.Millisecond
	// maxLoans is the maximum number of peers that one request waits for.
	maxLoans = 4
	// unreachableAvoidance and emptyAvoidance are how long no tokens are borrowed from a
	// peer that did not respond, or that lent less than asked.
	unreachableAvoidance = 500 * time.Millisecond
	emptyAvoidance       = 200 * time.Millisecond
	// minReturn is the smallest number of borrowed tokens that is returned after a
	// request. Less is used by the next one.
	minReturn = 2_000
	// returnBorrowedTimeout is the timeout of a return of borrowed tokens.
	returnBorrowedTimeout = 500 * time.Millisecond
)

// Counters of tokens transferred between gateways.
const (
	tokensBorrowed = "crocusline_tokens_borrowed_total"
	tokensLent     = "crocusline_tokens_lent_total"
	tokensReturned = "crocusline_tokens_returned_total"
)

// Peers sends requests to the other gateways.
type Peers interface {
	// Borrow requests tokens from the gateway at the address.
	Borrow(ctx context.Context, peer netip.AddrPort, loan prepaid.Loan) (prepaid.Lent, error)
	// Return returns borrowed tokens to the gateway at the address. It must not be
	// executed more than once.
	Return(ctx context.Context, peer netip.AddrPort, workspace string, tokens int64) error
}

// WithPeers enables loans between gateways. The address is where this gateway lends.
func WithPeers(peers Peers, address netip.AddrPort) Option {
	return func(s *Service) { s.peers, s.peerAddress = peers, address }
}

// WithMetrics sets where the service's metrics are registered.
func WithMetrics(set *metric.Set) Option { return func(s *Service) { s.metrics = set } }

// Lend lends tokens to another gateway.
func (s *Service) Lend(ctx context.Context, loan prepaid.Loan) prepaid.Lent {
	w, exists := s.workspace(loan.Workspace)
	if !exists || loan.Tokens <= 0 {
		return prepaid.Lent{}
	}
	s.recordLoanRequest(w, time.Now(), loan.Demand)
	lent := int64(0)
	if loan.Wait > 0 {
		lent = s.lendLater(ctx, w, loan)
	}
	if lent == 0 {
		lent = s.lendFree(w, loan.Tokens)
	}
	s.metrics.Counter(tokensLent).AddInt64(lent)
	s.log.Debug("tokens lent", "workspace", w.Name, "asked", loan.Tokens, "lent", lent, "wait", loan.Wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	b := s.budget(w, now)
	return prepaid.Lent{Tokens: lent, Free: b.Free(now), Granted: b.GrantRemaining()}
}

// workspace returns the limited workspace with this name.
func (s *Service) workspace(name string) (route.Workspace, bool) {
	table := s.tables.Table()
	if table == nil {
		return route.Workspace{}, false
	}
	w, exists := table.Workspaces[name]
	return w, exists && w.Limited
}

// lendFree lends up to this number of tokens that are free now.
func (s *Service) lendFree(w route.Workspace, tokens int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.budget(w, now).Lend(now, tokens)
}

// lendLater lends all of the tokens once grant and spending limit cover them, or none.
func (s *Service) lendLater(ctx context.Context, w route.Workspace, loan prepaid.Loan) int64 {
	ctx, cancel := context.WithTimeout(ctx, loan.Wait)
	defer cancel()
	start := time.Now()
	a := s.reserveFromGrant(ctx, w, loan.Tokens)
	if a.insufficient() {
		a = s.tryReserve(w, loan.Tokens, loan.Wait-time.Since(start))
	}
	reservation, reserved := a.reservation, a.reserved
	if a.pending != nil {
		reservation, reserved = s.awaitPending(ctx, w, a.pending)
	}
	if !reserved {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgets[w.Name].LendReserved(reservation)
}

// TakeBack adds tokens that a borrower returned.
func (s *Service) TakeBack(workspace string, tokens int64) {
	w, exists := s.workspace(workspace)
	if !exists {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(w, time.Now()).TakeBack(tokens)
	s.metrics.Counter(tokensReturned).AddInt64(tokens)
	s.notify()
}

// borrowFree borrows the tokens that a request lacks and that peers have free, and returns
// the number of peers asked. Gateways can reach each other while the store is unreachable.
func (s *Service) borrowFree(ctx context.Context, log hclog.Logger, w route.Workspace, tokens int64) int {
	if s.peers == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, maxBorrowDuration)
	defer cancel()
	for asked := 0; ; asked++ {
		lender, shortfall := s.nextLender(w, tokens)
		if shortfall <= 0 || lender == nil || asked == maxLendersAsked || ctx.Err() != nil {
			return asked
		}
		loan := prepaid.Loan{Workspace: w.Name, Tokens: shortfall}
		if asked == 0 {
			loan.Demand = tokens
		}
		s.borrowFrom(ctx, log, *lender, loan)
	}
}

// borrowLater borrows tokens that the spending limits of peers will cover within the wait.
// The first lender adds the demand to its own.
func (s *Service) borrowLater(ctx context.Context, log hclog.Logger, w route.Workspace, tokens, demand int64, wait time.Duration) {
	if s.peers == nil || wait <= 0 {
		return
	}
	now := time.Now()
	s.mu.Lock()
	shortfall := s.budget(w, now).Shortfall(now, tokens)
	lenders := slices.DeleteFunc(s.lenders(w, 0), func(l prepaid.Lender) bool { return now.Before(s.avoidedUntil[l.Instance]) })
	s.mu.Unlock()
	var loans sync.WaitGroup
	for _, share := range prepaid.DivideShortfall(lenders, shortfall, maxLoans, rand.IntN) {
		loan := prepaid.Loan{Workspace: w.Name, Tokens: share.Tokens, Demand: demand, Wait: wait}
		demand = 0
		loans.Go(func() { s.borrowFrom(ctx, log, share.Lender, loan) })
	}
	loans.Wait()
}

// lenders returns the peers that will probably have tokens to lend after the wait.
func (s *Service) lenders(w route.Workspace, wait time.Duration) []prepaid.Lender {
	b := s.budget(w, time.Now())
	return s.accounts[w.Name].Lenders(s.instance, s.reportWriter.follower.Age()+wait, b.observed)
}

// nextLender returns the shortfall of a request and a peer to borrow it from. The peer
// is nil if none can be asked.
func (s *Service) nextLender(w route.Workspace, tokens int64) (*prepaid.Lender, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	shortfall := s.budget(w, now).Shortfall(now, tokens)
	lenders := slices.DeleteFunc(s.lenders(w, 0), func(l prepaid.Lender) bool {
		return now.Before(s.avoidedUntil[l.Instance]) || now.Before(s.avoidedUntil[recordKey(w.Name, l.Instance)])
	})
	if lenders = prepaid.SelectLenders(lenders, shortfall); len(lenders) == 0 {
		return nil, shortfall
	}
	// The choice is random, so that concurrent requests at several gateways don't all
	// borrow from the same peer.
	return &lenders[rand.IntN(len(lenders))], shortfall
}

// borrowFrom requests a loan and waits for the response. A response that arrives after
// that still adds the tokens that it brings.
func (s *Service) borrowFrom(ctx context.Context, log hclog.Logger, l prepaid.Lender, loan prepaid.Loan) {
	received := make(chan struct{})
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return
	}
	s.loans.Go(func() {
		defer close(received)
		s.requestLoan(log, l, loan)
	})
	s.mu.Unlock()
	timer := time.NewTimer(loan.Wait + borrowTimeout)
	defer timer.Stop()
	select {
	case <-received:
	case <-ctx.Done():
	case <-timer.C:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.avoidedUntil[l.Instance] = time.Now().Add(unreachableAvoidance)
	}
}

func (s *Service) requestLoan(log hclog.Logger, l prepaid.Lender, loan prepaid.Loan) {
	ctx, cancel := context.WithTimeout(s.lending, loan.Wait+lateLoanTimeout)
	defer cancel()
	start := time.Now()
	lent, err := s.peers.Borrow(ctx, l.PeerAddress, loan)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.avoidedUntil[l.Instance] = time.Now().Add(unreachableAvoidance)
		log.Info("peer did not respond", "peer", l.Instance, "address", l.PeerAddress, "error", err)
		return
	}
	// A response can't make this gateway spend more than it requested.
	tokens := max(0, min(lent.Tokens, loan.Tokens))
	b := s.budgets[loan.Workspace]
	b.Borrow(tokens)
	b.lender = l.PeerAddress
	b.observed[l.Instance] = prepaid.Observation{Free: lent.Free, Granted: lent.Granted, Age: s.reportWriter.follower.Age()}
	s.metrics.Counter(tokensBorrowed).AddInt64(tokens)
	log = log.With("peer", l.Instance, "asked", loan.Tokens, "borrowed", tokens, "expected", l.Free,
		"accountsAge", s.reportWriter.follower.Age().Round(time.Millisecond), "took", time.Since(start).Round(time.Millisecond))
	if tokens == loan.Tokens {
		log.Debug("tokens borrowed")
		return
	}
	s.avoidedUntil[recordKey(loan.Workspace, l.Instance)] = time.Now().Add(emptyAvoidance)
	log.Info("peer lent too little", "left", lent.Free, "granted", lent.Granted)
}

// returnBorrowed returns the borrowed tokens that no request holds, if there are at
// least this many, in the background.
func (s *Service) returnBorrowed(workspace string, atLeast int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closing {
		s.startReturn(workspace, atLeast)
	}
}

// startReturn is returnBorrowed for callers that hold the lock.
func (s *Service) startReturn(workspace string, atLeast int64) {
	b := s.budgets[workspace]
	if s.peers == nil || b.Borrowed() < atLeast {
		return
	}
	tokens, lender := b.ReturnBorrowed(), b.lender
	s.returns.Go(func() {
		ctx, cancel := context.WithTimeout(s.lending, returnBorrowedTimeout)
		defer cancel()
		if err := s.peers.Return(ctx, lender, workspace, tokens); err != nil {
			// The peer may have taken the tokens back, so they can't be used here.
			s.log.Warn("return of borrowed tokens unconfirmed", "workspace", workspace, "address", lender, "tokens", tokens, "error", err)
		}
	})
}
