// Package prepaid keeps an entry's part of each workspace's prepaid tokens: it
// follows the accounts in the platform's store, grows and shrinks the entry's
// grants there, and reserves tokens for requests from them without asking anybody.
package prepaid

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/modules/uptime"
	"github.com/crocusline/crocusline/services/follower"
)

// Name is the service's name.
const Name = "prepaid"

const (
	// writeInterval is how often grants are compared with what they should be.
	writeInterval = 250 * time.Millisecond
	// urgentInterval is the shortest time between two writes while requests wait.
	urgentInterval = 20 * time.Millisecond
	// grantWait is how long a request waits for a larger grant: some exchanges with
	// the store, a small part of the most urgent goal.
	grantWait = 120 * time.Millisecond
	// longestWait is how long a request waits until the terms cover it, a part of
	// the most urgent goal.
	longestWait = 400 * time.Millisecond
	// wantedMemory is how long a refused request counts as wanting tokens.
	wantedMemory = time.Second
	// usualDay is the time in which a workspace is assumed to use its prepaid total
	// until its demand was seen.
	usualDay = 45 * time.Second
	// assumedEntries is the number of entries until their accounts are known.
	assumedEntries = 4
	// giveBackTimeout bounds the return of unused tokens when the process ends.
	giveBackTimeout = time.Second
	// comeBack is when a caller may try another entry, which may hold tokens.
	comeBack = 300 * time.Millisecond
	// staleAfter is the age of the accounts at which the store is probably lost. A
	// write then would only hold back the terms of the one before.
	staleAfter = 600 * time.Millisecond
	// followPace is the shortest time between two reads of the accounts while no
	// request lacks tokens.
	followPace = 100 * time.Millisecond
	// followWait is how long the store may hold a read of the accounts.
	followWait = 400 * time.Millisecond
)

// Log is the store.
type Log interface {
	follower.Log
	// Append writes records if the topic ends at the offset.
	Append(ctx context.Context, topic string, at int64, records []record.Record) error
}

// Tables gives the tables in force.
type Tables interface {
	Table() *route.Table
}

// Option changes a Service at construction.
type Option func(*Service)

// WithPlanner sets how grants are sized.
func WithPlanner(p *prepaid.Planner) Option { return func(s *Service) { s.planner = p } }

// Service holds the entry's purses.
type Service struct {
	log         hclog.Logger
	store       Log
	topic       string
	tables      Tables
	instance    string
	incarnation uint64
	planner     *prepaid.Planner
	follower    *follower.Follower

	wall     *uptime.Wall
	sequence int64

	mu       sync.Mutex
	accounts map[string]prepaid.Account
	// broken are the workspaces whose newest record can't be decoded.
	broken  map[string]bool
	purses  map[string]*purse
	next    int64
	known   bool
	changed chan struct{}

	kick   chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// purse is one workspace's purse and since when it lacked tokens.
type purse struct {
	*prepaid.Purse
	wanted time.Time
}

// New returns the service of an incarnation of the instance.
func New(log hclog.Logger, store Log, topic string, tables Tables, instance, incarnation string, opts ...Option) *Service {
	s := &Service{
		log: log.Named(Name), store: store, topic: topic, tables: tables,
		instance: instance, incarnation: xxhash.Sum64String(incarnation), planner: prepaid.NewPlanner(),
		wall:     uptime.NewWall(),
		accounts: map[string]prepaid.Account{}, broken: map[string]bool{}, purses: map[string]*purse{},
		changed: make(chan struct{}), kick: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.follower = follower.New(s.log, store, topic, handler{s}, follower.WithPace(followPace), follower.WithWait(followWait))
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	s.follower.Start(ctx)
	ctx, s.cancel = context.WithCancel(ctx)
	s.done.Go(func() { s.writeAll(ctx) })
	return nil
}

// Close implements kernel.Service. Unused tokens go back first, if the store can
// be reached.
func (s *Service) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.done.Wait()
	s.giveBack()
	return s.follower.Close()
}

// Ready says whether the accounts are known.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// Hold is tokens set aside for one request.
type Hold struct {
	service   *Service
	workspace string
	tokens    int64
}

// Settle ends the hold with the tokens that the request used.
func (h *Hold) Settle(used int64) {
	if h == nil {
		return
	}
	h.service.mu.Lock()
	defer h.service.mu.Unlock()
	h.service.purses[h.workspace].Settle(h.tokens, used)
}

// Reserve sets aside the most that a request can cost. It returns a nil Hold for
// a workspace without a prepaid total. If the terms don't cover the request it
// waits for new ones, or until the old ones do, but not for long.
func (s *Service) Reserve(ctx context.Context, w route.Workspace, tokens int64) (*Hold, error) {
	if !w.Limited || tokens == 0 {
		return nil, nil
	}
	began := time.Now()
	s.asked(w, began, tokens)
	for {
		t := s.try(w, tokens, longestWait-time.Since(began))
		if t.err == nil {
			return &Hold{service: s, workspace: w.Name, tokens: tokens}, nil
		}
		wait := grantWait - time.Since(began)
		if !s.follower.Reachable() {
			wait = 0
		}
		if t.covered > 0 {
			wait = max(wait, t.covered)
		}
		if wait <= 0 || t.err.Reason == refusal.BudgetExhausted {
			return nil, t.err
		}
		s.urge()
		s.follower.Hurry()
		if !s.await(ctx, t.changed, wait) {
			return nil, t.err
		}
	}
}

// await waits for a change of the accounts or the time, and reports whether to
// try again.
func (*Service) await(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
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
	s.purse(w, now).Asked(now, tokens)
}

// trial is a try to reserve.
type trial struct {
	// err is the refusal if it failed.
	err *refusal.Error
	// changed is closed with the next change of the accounts.
	changed <-chan struct{}
	// covered is when the terms will cover the request, or 0.
	covered time.Duration
}

// try reserves from what the terms allow.
func (s *Service) try(w route.Workspace, tokens int64, patience time.Duration) trial {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p := s.purse(w, now)
	if p.Reserve(now, tokens) {
		return trial{}
	}
	p.Want(tokens)
	p.wanted = now
	t := trial{changed: s.changed, err: refusal.New(refusal.BudgetUnreachable, comeBack,
		"this entry holds too few of the workspace's tokens: come back, another entry may hold more")}
	account, known := s.accounts[w.Name]
	if known && account.Unspent(w.Prepaid) < tokens {
		t.err = refusal.New(refusal.BudgetExhausted, 0, "the prepaid tokens do not cover the request: top up")
	}
	if after, ok := p.Covered(now, tokens, patience); ok && patience > 0 {
		t.covered = after
	}
	return t
}

// purse returns the workspace's purse.
func (s *Service) purse(w route.Workspace, now time.Time) *purse {
	p, known := s.purses[w.Name]
	if !known {
		entries := max(len(s.accounts[w.Name]), assumedEntries)
		prior := float64(w.Prepaid) / usualDay.Seconds() / float64(entries)
		p = &purse{Purse: prepaid.NewPurse(now, prior)}
		s.purses[w.Name] = p
	}
	return p
}

// Balance is what an entry knows of a workspace's tokens, for log lines.
type Balance struct {
	// Free is what the terms allow now, Granted what is left of the entry's grant,
	// and Unspent what may be left of the prepaid total.
	Free    int64
	Granted int64
	Unspent int64
	// Demand is the tokens a second that callers ask of this entry.
	Demand float64
	// Age is the time since the accounts were read.
	Age time.Duration
}

// Balance returns what is known of the workspace's tokens.
func (s *Service) Balance(w route.Workspace) Balance {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Balance{Unspent: s.accounts[w.Name].Unspent(w.Prepaid), Age: s.follower.Age()}
	if p, known := s.purses[w.Name]; known {
		now := time.Now()
		b.Free, b.Granted, b.Demand = p.Free(now), p.Granted(), p.Demand(now)
	}
	return b
}

func (s *Service) urge() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// writeAll compares the grants with what they should be, from time to time and
// when a request lacks tokens.
func (s *Service) writeAll(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-ticker.C:
		case <-s.kick:
			if wait := urgentInterval - time.Since(last); wait > 0 {
				time.Sleep(wait)
			}
		case <-ctx.Done():
			return
		}
		if s.follower.Reachable() && s.follower.Age() < staleAfter {
			s.write(ctx)
		}
	}
}

// write makes one conditional write of the accounts that should change.
func (s *Service) write(ctx context.Context) {
	records, at := s.plan(time.Now())
	if len(records) == 0 {
		return
	}
	err := s.store.Append(ctx, s.topic, at, records)
	var conflict *record.ConflictError
	var refused *record.RefusedError
	switch {
	case err == nil:
		s.wrote(records, at)
	case errors.As(err, &conflict):
		// Others wrote first; what they wrote is read before the next try.
		s.log.Debug("grant conflicted", "at", at, "end", conflict.End)
		s.follower.Hurry()
	case errors.As(err, &refused):
		s.log.Warn("grant refused", "at", at, "error", err)
	default:
		// The write may still take effect; the totals that were lowered stay so until
		// the topic was read beyond the offset.
		s.log.Warn("grant outcome unknown", "at", at, "error", err)
	}
}

// plan returns the records to write and the offset at which they may be.
func (s *Service) plan(now time.Time) ([]record.Record, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.tables.Table()
	if table == nil || !s.known {
		return nil, 0
	}
	clock := s.clock()
	newest := s.newest()
	var records []record.Record
	for _, w := range limited(table) {
		if s.broken[w.Name] {
			continue
		}
		p := s.purse(w, now)
		if now.Sub(p.wanted) > wantedMemory {
			p.ForgetWanted()
		}
		s.sequence++
		holder := p.Holder(now, prepaid.Holder{
			Instance: s.instance, Incarnation: s.incarnation, Sequence: s.sequence, Now: clock, Newest: newest,
		})
		grant, changed := s.planner.Plan(s.accounts[w.Name], w.Prepaid, holder)
		if !changed {
			continue
		}
		value, err := grant.Encode()
		if err != nil {
			s.log.Error("grant not encoded", "workspace", w.Name, "error", err)
			continue
		}
		p.Sent(now, s.sequence, s.next, grant.Terms)
		records = append(records, record.Record{Key: grantKey(w.Name, s.instance), Value: value})
	}
	return records, s.next
}

// clock reads the clocks that a successor of this process can compare.
func (s *Service) clock() prepaid.Clock {
	c := prepaid.Clock{Wall: s.wall.Earliest()}
	up, err := uptime.Now()
	if err != nil {
		s.log.Debug("uptime not known", "error", err)
		return c
	}
	c.Uptime, c.Boot = up.Milliseconds(), xxhash.Sum64String(uptime.Boot())
	return c
}

// newest is the latest time of day in all accounts.
func (s *Service) newest() int64 {
	var newest int64
	for _, a := range s.accounts {
		newest = max(newest, a.Newest())
	}
	return newest
}

// limited returns the workspaces with a prepaid total, by name.
func limited(t *route.Table) []route.Workspace {
	var all []route.Workspace
	for _, w := range t.Workspaces {
		if w.Limited {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b route.Workspace) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// wrote applies a write of this entry's own that was acknowledged at the offset.
func (s *Service) wrote(records []record.Record, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != at {
		return
	}
	for i := range records {
		records[i].Offset = at + int64(i)
	}
	s.apply(records, at+int64(len(records)))
}

// keySeparator stands between workspace and instance in the key of a grant.
const keySeparator = "\x1f"

func grantKey(workspace, instance string) string { return workspace + keySeparator + instance }

// apply takes records that begin where the accounts end.
func (s *Service) apply(records []record.Record, next int64) {
	for _, r := range records {
		if r.Offset >= s.next && r.Value != nil {
			s.applyGrant(r)
		}
	}
	if next > s.next {
		s.next = next
		for _, p := range s.purses {
			p.Reached(next)
		}
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// applyGrant takes one grant. If another entry lacks tokens, the grants are
// planned anew at once.
func (s *Service) applyGrant(r record.Record) {
	workspace, instance, found := strings.Cut(r.Key, keySeparator)
	grant, err := prepaid.ParseGrant(r.Value)
	if err != nil || !found {
		// Nobody may hand out tokens while it is not known what was granted.
		s.log.Error("grant not readable", "key", r.Key, "offset", r.Offset, "error", err)
		s.broken[workspace] = true
		return
	}
	delete(s.broken, workspace)
	s.accounts[workspace] = s.accounts[workspace].With(instance, grant)
	if instance != s.instance {
		if grant.Wanted > 0 {
			s.urge()
		}
		return
	}
	if p, known := s.purses[workspace]; known && grant.Incarnation == s.incarnation {
		p.InForce(grant.Sequence)
		s.log.Debug("grant read", "workspace", workspace, "total", grant.Total, "committed", grant.Committed,
			"closed", grant.Closed, "offset", r.Offset)
	}
}

// giveBack returns the unused tokens before the process ends.
func (s *Service) giveBack() {
	ctx, cancel := context.WithTimeout(context.Background(), giveBackTimeout)
	defer cancel()
	s.mu.Lock()
	s.planner = prepaid.NewPlanner(prepaid.WithHorizon(0), prepaid.WithSlack(0))
	for _, p := range s.purses {
		p.ForgetWanted()
		p.wanted = time.Time{}
	}
	s.mu.Unlock()
	for s.follower.Reachable() && ctx.Err() == nil {
		s.mu.Lock()
		kept, changed := s.kept(), s.changed
		s.mu.Unlock()
		if kept == 0 {
			return
		}
		s.write(ctx)
		s.await(ctx, changed, urgentInterval)
	}
	s.log.Warn("tokens not returned", "reachable", s.follower.Reachable())
}

// kept is the number of tokens that this entry holds and does not use.
func (s *Service) kept() int64 {
	var sum int64
	for _, account := range s.accounts {
		if g, held := account[s.instance]; held && g.Incarnation == s.incarnation {
			sum += g.Total - g.Committed
		}
	}
	return sum
}

// handler takes what the follower reads.
type handler struct{ s *Service }

// Reset implements follower.Handler.
func (h handler) Reset(records []record.Record, next int64) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.next = 0
	h.s.apply(records, next)
	h.s.known = true
}

// Apply implements follower.Handler.
func (h handler) Apply(records []record.Record, next int64) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.apply(records, next)
}

// Reached implements follower.Handler.
func (handler) Reached(bool) {}
