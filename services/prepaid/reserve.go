package prepaid

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/route"
)

const (
	// grantWait is how long a request waits for a larger grant: the time of a few round
	// trips to the store, and a small part of the shortest latency goal.
	grantWait = 120 * time.Millisecond
	// maxLimitWait is the maximum time that a request waits until the spending limit
	// covers it: most of the time after which the limit of a disconnected gateway grows.
	// A request waits no longer than maxWaitFraction of the time until its deadline.
	maxLimitWait    = 2 * time.Second
	maxWaitFraction = 0.25
	// minRetryAfter is the shortest time after which a caller should retry: a few round
	// trips to the store, in which grants change. maxRetryAfter is the time in which most
	// requests in flight end and release the tokens that they did not use, and
	// retryAfterStep the increment between the two.
	minRetryAfter  = 300 * time.Millisecond
	maxRetryAfter  = 4 * time.Second
	retryAfterStep = 300 * time.Millisecond
	// loggedWait is the shortest wait for tokens that is logged.
	loggedWait = 20 * time.Millisecond
)

// Hold is a reservation of tokens for one request.
type Hold struct {
	service     *Service
	workspace   string
	reservation prepaid.Reservation
}

// Settle ends the hold. The tokens that the request did not use are released.
func (h *Hold) Settle(used int64) {
	if h == nil {
		return
	}
	h.service.mu.Lock()
	h.service.budgets[h.workspace].Settle(h.reservation, used)
	h.service.mu.Unlock()
	h.service.returnBorrowed(h.workspace, minReturn)
}

// Reserve reserves the maximum cost of a request. It returns a nil Hold for a
// workspace without a prepaid total. A request that needs a larger grant waits up to
// grantWait for it. Tokens that are still missing are borrowed from other gateways;
// if those have too few, the request waits until the spending limit of this gateway
// or of others covers it.
func (s *Service) Reserve(ctx context.Context, w route.Workspace, requestID string, tokens int64) (*Hold, error) {
	if !w.Limited || tokens == 0 {
		return nil, nil
	}
	start := time.Now()
	s.recordRequest(w, start, tokens)
	a := s.reserveFromGrant(ctx, w, tokens)
	if a.reserved {
		return s.hold(w, a.reservation), nil
	}
	log := s.log.With("requestId", requestID, "workspace", w.Name)
	if a.insufficient() {
		a = s.reserveWithLoans(ctx, log, w, tokens, start)
	}
	if a.pending != nil {
		a.reservation, a.reserved = s.awaitPending(ctx, w, a.pending)
	}
	if !a.reserved {
		s.returnBorrowed(w.Name, 1)
		return nil, s.refuse(w, tokens, a.exhausted)
	}
	if waited := time.Since(start); waited >= loggedWait {
		log.Info("waited for tokens", "tokens", tokens, "took", waited.Round(time.Millisecond))
	}
	return s.hold(w, a.reservation), nil
}

// reserveWithLoans tries to reserve tokens, borrowing those that this gateway lacks. If
// peers have too few free, the request waits until the spending limit of this gateway or
// of peers covers it.
func (s *Service) reserveWithLoans(ctx context.Context, log hclog.Logger, w route.Workspace, tokens int64, start time.Time) attempt {
	demand := tokens
	if s.borrowFree(ctx, log, w, tokens) > 0 {
		demand = 0
	}
	limitWait := maxWait(ctx, start) - time.Since(start)
	a := s.tryReserve(w, tokens, limitWait)
	if a.insufficient() {
		s.borrowLater(ctx, log, w, tokens, demand, limitWait)
		a = s.tryReserve(w, tokens, waitBeforeBorrowing)
	}
	return a
}

func (s *Service) hold(w route.Workspace, reservation prepaid.Reservation) *Hold {
	return &Hold{service: s, workspace: w.Name, reservation: reservation}
}

// unreachableError returns the refusal of a request for which neither this gateway nor
// its peers have enough tokens. Callers should retry when the spending limits of the
// gateways will probably cover it.
func (s *Service) unreachableError(w route.Workspace, now time.Time, tokens int64) error {
	wait := minRetryAfter
	for wait < maxRetryAfter && s.expectedFree(w, now, wait) < tokens {
		wait += retryAfterStep
	}
	return refusal.New(refusal.BudgetUnreachable, wait,
		"the entries in reach hold too few of the workspace's tokens: come back later")
}

// expectedFree returns the number of tokens that this gateway and the peers it would
// borrow from will probably have free after the wait if no other request uses them.
func (s *Service) expectedFree(w route.Workspace, now time.Time, wait time.Duration) int64 {
	sum := s.budget(w, now).Free(now.Add(wait))
	for i, l := range s.lenders(w, wait) {
		if i < maxLendersAsked {
			sum += max(0, l.Free)
		}
	}
	return sum
}

// reserveFromGrant tries to reserve tokens of the gateway's own grant, and waits up to
// grantWait for a larger grant if they are insufficient.
func (s *Service) reserveFromGrant(ctx context.Context, w route.Workspace, tokens int64) attempt {
	start := time.Now()
	a := s.tryReserve(w, tokens, waitBeforeBorrowing)
	if a.reserved || !a.holds {
		return a
	}
	s.addWaiting(w, tokens)
	defer s.addWaiting(w, -tokens)
	for ; ; a = s.tryReserve(w, tokens, waitBeforeBorrowing) {
		if a.reserved {
			return a
		}
		s.triggerWrites(w.Name)
		wait := grantWait - time.Since(start)
		if !a.insufficient() || wait <= 0 || !s.storeReachable() || !awaitChange(ctx, a.changed, wait) {
			return a
		}
	}
}

// addWaiting adds tokens, or removes a negative number, that requests wait for.
func (s *Service) addWaiting(w route.Workspace, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(w, time.Now()).AddWaiting(tokens)
}

// maxWait returns how long a request may wait for tokens.
func maxWait(ctx context.Context, now time.Time) time.Duration {
	deadline, set := ctx.Deadline()
	if !set {
		return maxLimitWait
	}
	return min(maxLimitWait, time.Duration(float64(deadline.Sub(now))*maxWaitFraction))
}

// awaitPending waits until a pending reservation is covered, and returns whether it was.
// With a renewed report, that happens before it is due.
func (s *Service) awaitPending(ctx context.Context, w route.Workspace, p *prepaid.PendingReservation) (prepaid.Reservation, bool) {
	for {
		reservation, active, changed := s.activate(w, p)
		if active {
			return reservation, true
		}
		wait := time.Until(p.Due())
		if wait <= 0 || !awaitChange(ctx, changed, wait) {
			s.cancelPending(w, p)
			return prepaid.Reservation{}, false
		}
	}
}

func (s *Service) cancelPending(w route.Workspace, p *prepaid.PendingReservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgets[w.Name].Cancel(p)
}

// activate returns the reservation if it is covered now. Otherwise it returns a channel
// that is closed with the next change of grants or reports.
func (s *Service) activate(w route.Workspace, p *prepaid.PendingReservation) (prepaid.Reservation, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reservation, active := s.budgets[w.Name].Activate(time.Now(), p)
	return reservation, active, s.changed
}

// awaitChange waits for a change or until the time has elapsed. It returns false if the
// context ends first.
func awaitChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// recordRequest adds a request to the workspace's demand.
func (s *Service) recordRequest(w route.Workspace, now time.Time, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markStarted(now)
	s.budget(w, now).RecordRequest(now, tokens)
}

// recordLoanRequest adds another gateway's request to the workspace's demand for loans.
func (s *Service) recordLoanRequest(w route.Workspace, now time.Time, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markStarted(now)
	s.budget(w, now).RecordLoanRequest(now, tokens)
}

// markStarted records the time of the first request to this gateway.
func (s *Service) markStarted(now time.Time) {
	if !s.firstRequestAt.IsZero() {
		return
	}
	s.firstRequestAt = now
	for _, b := range s.budgets {
		b.MarkStarted(now)
	}
}

// attempt is the result of one attempt to reserve tokens.
type attempt struct {
	// reserved is whether the tokens are held by reservation, so that the request may
	// start.
	reserved    bool
	reservation prepaid.Reservation
	// pending holds the tokens if the spending limit will cover them soon enough.
	pending *prepaid.PendingReservation
	// holds is whether this gateway is one of those that hold the workspace's tokens.
	holds bool
	// exhausted is whether the workspace has fewer unspent tokens at all gateways
	// together.
	exhausted bool
	// changed is closed when grants or reports change next.
	changed <-chan struct{}
}

// insufficient reports whether the gateway's own tokens don't cover the request, but
// those of other gateways may.
func (a attempt) insufficient() bool { return !a.reserved && a.pending == nil && !a.exhausted }

// tryReserve tries to reserve tokens within grant and spending limit, or to make a
// reservation that the limit covers within limitWait.
func (s *Service) tryReserve(w route.Workspace, tokens int64, limitWait time.Duration) attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	b := s.budget(w, now)
	if reservation, ok := b.Reserve(now, tokens); ok {
		return attempt{reserved: true, reservation: reservation}
	}
	if p, ok := b.ReservePending(now, tokens, limitWait); ok {
		return attempt{pending: p}
	}
	b.RecordUnmet(tokens)
	b.unmetAt = now
	return attempt{
		holds:     s.holderState(w, now, s.startedAt).Role != prepaid.Borrower,
		exhausted: s.loaded() && s.accounts[w.Name].Unspent(w.Prepaid) < tokens,
		changed:   s.changed,
	}
}
