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
	// grantWait is how long a request waits for a larger grant: some exchanges with
	// the store, a small part of the most urgent goal.
	grantWait = 120 * time.Millisecond
	// longestWait is how long a request waits until the terms cover it: most of
	// cutDelay, after which they allow more. patientPart of the time that a request
	// has left is the most that it waits.
	longestWait = 2 * time.Second
	patientPart = 0.25
	// soonest is when a caller may come back at the earliest: a few exchanges with
	// the store, in which grants change. latest is the time in which most requests
	// under way end and return what they did not use, and step is between the times
	// that are tried.
	soonest = 300 * time.Millisecond
	latest  = 4 * time.Second
	step    = 300 * time.Millisecond
)

// Hold is tokens set aside for one request.
type Hold struct {
	service   *Service
	workspace string
	part      prepaid.Reservation
}

// Settle ends the hold with the tokens that the request used.
func (h *Hold) Settle(used int64) {
	if h == nil {
		return
	}
	h.service.mu.Lock()
	defer h.service.mu.Unlock()
	h.service.purses[h.workspace].Settle(h.part, used)
}

// Reserve sets aside the most that a request can cost. It returns a nil Hold for
// a workspace without a prepaid total. A request that needs a larger grant waits
// for some exchanges with the store. What is still lacking is borrowed from other
// entries; if they have too little, the request waits until the terms of this one
// cover it.
func (s *Service) Reserve(ctx context.Context, w route.Workspace, requestID string, tokens int64) (*Hold, error) {
	if !w.Limited || tokens == 0 {
		return nil, nil
	}
	began := time.Now()
	s.asked(w, began, tokens)
	t := s.tryGranted(ctx, w, tokens)
	if t.reserved {
		return s.hold(w, t.part), nil
	}
	log := s.log.With("requestId", requestID, "workspace", w.Name)
	if t.lacking() && s.borrow(ctx, log, w, tokens) {
		t = s.try(w, tokens, promptWait)
	}
	if t.lacking() {
		t = s.try(w, tokens, patience(ctx, began)-time.Since(began))
	}
	switch {
	case t.booking != nil:
		return s.awaitBooking(ctx, log, w, t.booking, tokens)
	case t.exhausted:
		return nil, refusal.New(refusal.BudgetExhausted, 0, "the prepaid tokens do not cover the request: top up")
	case !t.reserved:
		return nil, s.unreachable(w, tokens)
	}
	return s.hold(w, t.part), nil
}

func (s *Service) hold(w route.Workspace, part prepaid.Reservation) *Hold {
	return &Hold{service: s, workspace: w.Name, part: part}
}

// unreachable refuses a request whose tokens neither this entry nor its peers have.
// Callers should come back when the entries' terms will probably cover it.
func (s *Service) unreachable(w route.Workspace, tokens int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, age := time.Now(), s.reporter.follower.Age()
	wait := soonest
	for wait < latest && s.expected(w, now, age, wait) < tokens {
		wait += step
	}
	return refusal.New(refusal.BudgetUnreachable, wait,
		"the entries in reach hold too few of the workspace's tokens: come back later")
}

// expected is what this entry and some peers probably have for a request after a
// wait, if nobody else takes it.
func (s *Service) expected(w route.Workspace, now time.Time, age, wait time.Duration) int64 {
	sum := s.purse(w, now).Free(now.Add(wait))
	for i, l := range s.accounts[w.Name].Lenders(s.instance, age+wait) {
		if i < mostAsked {
			sum += l.Free
		}
	}
	return sum
}

// tryGranted tries to reserve until there was time for a larger grant.
func (s *Service) tryGranted(ctx context.Context, w route.Workspace, tokens int64) trial {
	began := time.Now()
	for {
		t := s.try(w, tokens, promptWait)
		if t.reserved {
			return t
		}
		s.urge(w.Name)
		wait := grantWait - time.Since(began)
		if !t.lacking() || wait <= 0 || !s.reachable() || !await(ctx, t.changed, wait) {
			return t
		}
	}
}

// patience is how long a request may wait for tokens.
func patience(ctx context.Context, now time.Time) time.Duration {
	deadline, set := ctx.Deadline()
	if !set {
		return longestWait
	}
	return min(longestWait, time.Duration(float64(deadline.Sub(now))*patientPart))
}

// awaitBooking waits until a booking is covered. A renewed report covers it sooner
// than it is due.
func (s *Service) awaitBooking(
	ctx context.Context, log hclog.Logger, w route.Workspace, b *prepaid.PendingReservation, tokens int64,
) (*Hold, error) {
	began := time.Now()
	for {
		hold, changed := s.begin(w, b)
		if hold != nil {
			log.Info("tokens awaited", "tokens", tokens, "due", b.Due().Sub(began).Round(time.Millisecond),
				"took", time.Since(began).Round(time.Millisecond))
			return hold, nil
		}
		wait := time.Until(b.Due())
		if wait <= 0 || !await(ctx, changed, wait) {
			s.cancelBooking(w, b)
			return nil, s.unreachable(w, tokens)
		}
	}
}

func (s *Service) cancelBooking(w route.Workspace, b *prepaid.PendingReservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purses[w.Name].Cancel(b)
}

// begin ends a booking if it is covered. Otherwise it returns what is closed with
// the next change.
func (s *Service) begin(w route.Workspace, b *prepaid.PendingReservation) (*Hold, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part, begun := s.purses[w.Name].Activate(time.Now(), b)
	if !begun {
		return nil, s.changed
	}
	return s.hold(w, part), nil
}

// await waits for a change or the time, and reports whether to try again.
func await(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
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

// asked counts a request to the workspace's demand.
func (s *Service) asked(w route.Workspace, now time.Time, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started.IsZero() {
		s.started = now
		for _, p := range s.purses {
			p.MarkStarted(now)
		}
	}
	s.purse(w, now).RecordRequest(now, tokens)
}

// trial is a try to reserve.
type trial struct {
	// reserved says that the request may begin with the part.
	reserved bool
	part     prepaid.Reservation
	// booking holds the tokens if they are covered soon.
	booking *prepaid.PendingReservation
	// exhausted says that nobody has as many.
	exhausted bool
	// changed is closed with the next change of grants or reports.
	changed <-chan struct{}
}

// lacking says that the entry's own tokens don't cover the request, but others may.
func (t trial) lacking() bool { return !t.reserved && t.booking == nil && !t.exhausted }

// try reserves from what grant and terms allow.
func (s *Service) try(w route.Workspace, tokens int64, patience time.Duration) trial {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p := s.purse(w, now)
	if part, ok := p.Reserve(now, tokens); ok {
		return trial{reserved: true, part: part}
	}
	if b, ok := p.ReservePending(now, tokens, patience); ok {
		return trial{booking: b}
	}
	p.RecordUnmet(tokens)
	p.wanted = now
	return trial{
		exhausted: s.known() && s.accounts[w.Name].Unspent(w.Prepaid) < tokens,
		changed:   s.changed,
	}
}
