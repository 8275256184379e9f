// Package balance selects the backend server for a request. For each server it
// predicts the time to the first event from the prompt segments that the server
// probably has cached and from the requests already sent there, adds a penalty for
// recent failures, and selects the server with the lowest cost. It is designed for
// two load patterns: bursts of prompts that share long prefixes, and the
// simultaneous failure of a quarter of a pool.
package balance

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/estimate"
	"github.com/crocusline/crocusline/models/notice"
	"github.com/crocusline/crocusline/models/roster"
)

// enginePrior and plainPrior are the estimates for a pool without observations.
var (
	// enginePrior is the data sheet of one engine. A running request delays the first few
	// decoding steps, which take longer in a larger batch.
	enginePrior = estimate.Prior{Idle: 24 * time.Millisecond, TokensPerMs: 37.9, PerRunning: time.Millisecond}
	// plainPrior is the usual service time of a call to a plain service, according to the
	// data sheets of both deployments.
	plainPrior = estimate.Prior{Idle: 40 * time.Millisecond}
)

// Costs used to compare servers, expressed as time that a caller waits.
const (
	// crossDomainCost weights the price and latency of traffic between failure
	// domains.
	crossDomainCost = 10 * time.Millisecond
	// failureCost is the time lost by a failed attempt: a timeout and a retry.
	failureCost = 700 * time.Millisecond
	// confirmCredit is the latency that a request may lose for the news of whether a server still
	// names its limit.
	confirmCredit = 50 * time.Millisecond
	// latencyFloorShare is the share of the request's goal below which predictions
	// are considered almost equal. The rest of the goal is a reserve for delays that this
	// gateway cannot observe.
	latencyFloorShare = 0.4
	// latencyShare is the share of a prediction below that floor that still counts. It is
	// small, so that cached tokens decide between servers with and without them, and the
	// faster or less late one is chosen among others.
	latencyShare = 0.05
	// delayDecay is the time constant with which an observed delay decays. It is
	// about the time in which an engine completes the work that caused the delay.
	delayDecay = 600 * time.Millisecond
)

// Parameters of the reaction to failures: the bounds of the suspension of an
// unreachable server, and the window of the failure rate.
const (
	minSuspension = 400 * time.Millisecond
	maxSuspension = 3 * time.Second
	// failureWindow is the number of responses over which the failure rate is
	// averaged.
	failureWindow = 8.0
)

// Option configures a Balancer.
type Option func(*Balancer)

// WithFailureDomain sets the failure domain of the gateway itself.
func WithFailureDomain(domain string) Option { return func(b *Balancer) { b.domain = domain } }

// WithRand sets the random source that breaks ties.
func WithRand(r *rand.Rand) Option { return func(b *Balancer) { b.rand = r } }

// WithBoard sets what servers announce about the requests that they take.
func WithBoard(board *notice.Board) Option { return func(b *Balancer) { b.board = board } }

// Balancer selects among the servers of one pool. It is not safe for concurrent
// use.
type Balancer struct {
	domain      string
	rand        *rand.Rand
	board       *notice.Board
	cacheTokens int64
	servers     map[string]*server
	evacuated   []roster.Server
	// latency holds the estimates for the pool.
	latency *estimate.Pool
}

// New returns a balancer without servers.
func New(opts ...Option) *Balancer {
	b := &Balancer{rand: rand.New(rand.NewPCG(0, 0)), board: notice.NewBoard(nil), servers: map[string]*server{}, latency: estimate.New(plainPrior)}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// server is the state that this gateway has recorded for a backend server.
type server struct {
	roster.Server
	running int
	// pendingTokens is the number of prompt tokens of requests that have not
	// produced their first event.
	pendingTokens int64
	// unread maps the ids of those requests to what was predicted for them.
	unread map[string]prediction
	// latency is the server's speed relative to its pool.
	latency estimate.Server
	// delay is how much later than predicted first events arrived, as of delayedAt.
	delay          time.Duration
	delayedAt      time.Time
	cache          *cache
	failureRate    float64
	suspension     time.Duration
	suspendedUntil time.Time
	// trials are the ids of the requests in flight that test a suspended server.
	trials map[string]bool
}

// prediction is what was predicted for a request when it was sent.
type prediction struct {
	sentAt time.Time
	// firstEventDue is when the first event was predicted.
	firstEventDue time.Time
	load          estimate.Load
	// comparable is whether the time to the first event shows the server's speed.
	comparable bool
}

// SetServers replaces the servers. cacheTokens is the number of tokens that each can
// cache, 0 for plain services. The state of servers that restarted is discarded.
func (b *Balancer) SetServers(servers []roster.Server, cacheTokens int64) {
	if (cacheTokens == 0) != (b.cacheTokens == 0) {
		b.resetEstimates(cacheTokens)
	}
	b.cacheTokens = cacheTokens
	current := make(map[string]*server, len(servers))
	for _, s := range servers {
		state, ok := b.servers[s.ID]
		if !ok || state.Started != s.Started {
			state = &server{cache: newCache(cacheTokens), unread: map[string]prediction{}, trials: map[string]bool{}}
			if start := b.board.Start(s); start != nil {
				// Requests may have ended while the server was absent.
				start.ForgetInFlight()
			}
		}
		state.Server = s
		current[s.ID] = state
	}
	b.servers = current
}

// SetEvacuated sets the servers of the pool that are not among its servers because their failure domains are evacuated.
func (b *Balancer) SetEvacuated(servers []roster.Server) { b.evacuated = servers }

// Evacuated reports whether the server gets nothing because its failure domain is evacuated.
func (b *Balancer) Evacuated(id string) bool {
	return slices.ContainsFunc(b.evacuated, func(s roster.Server) bool { return s.ID == id })
}

// AllEvacuated reports whether evacuated servers have the software version and no others do. Without a version, it
// considers all servers.
func (b *Balancer) AllEvacuated(version string) bool {
	has := func(s roster.Server) bool { return version == "" || s.Version == version }
	for _, s := range b.servers {
		if has(s.Server) {
			return false
		}
	}
	return slices.ContainsFunc(b.evacuated, has)
}

// resetEstimates discards what was learned, as the pool's servers became engines or plain
// services.
func (b *Balancer) resetEstimates(cacheTokens int64) {
	prior := plainPrior
	if cacheTokens > 0 {
		prior = enginePrior
	}
	b.latency = estimate.New(prior)
	for _, s := range b.servers {
		s.latency, s.unread = estimate.Server{}, map[string]prediction{}
	}
}

// Request describes a request for which a server is selected.
type Request struct {
	ID           string
	Segments     []call.PrefixSegment
	PromptTokens int64
	// Exclude lists the servers that have already been tried.
	Exclude []string
	// Version is the software version that a server must have, or empty if any will do.
	Version string
	// Goal is the target for the time to the first event.
	Goal time.Duration
	// Idempotent requests may be used to test a server that was unreachable.
	Idempotent bool
	// MaxRunning is the number of this gateway's requests that a server can run, or 0 if
	// it is not limited.
	MaxRunning int
}

// Choice is the server selected for a request.
type Choice struct {
	Server roster.Server
	// PredictedLatency is the expected time to the first event, or to the response
	// of a plain service.
	PredictedLatency time.Duration
	// CachedTokens is the number of prompt tokens that the server probably has
	// cached.
	CachedTokens int64
	// Trial is set if the server was unreachable before and the request tests it.
	Trial bool
}

// Choose returns the server with the lowest expected cost. It reports false if
// there is no server to choose.
func (b *Balancer) Choose(now time.Time, r Request) (Choice, bool) {
	preferred := b.preferredServer(now, r)
	var best, reserve *server
	var choice Choice
	bestCost := time.Duration(math.MaxInt64)
	for _, s := range b.sortedServers() {
		if slices.Contains(r.Exclude, s.ID) || (r.Version != "" && s.Version != r.Version) || (r.MaxRunning > 0 && s.running >= r.MaxRunning) {
			continue
		}
		if !b.board.Admits(now, s.Server) {
			if b.heldByStart(now, s) && (reserve == nil || b.board.Start(s.Server).Idle()) {
				reserve = s
			}
			continue
		}
		predicted, cached := b.predict(now, s, r, s == preferred)
		cost := latencyCost(r, predicted) + b.recomputeCost(s, r, cached) + b.penalty(now, s, r) + time.Duration(b.rand.Int64N(int64(time.Millisecond)))
		if cost < bestCost {
			best, bestCost = s, cost
			choice = Choice{Server: s.Server, PredictedLatency: predicted, CachedTokens: cached, Trial: s.suspension > 0}
		}
	}
	if reserve == nil || (best != nil && !best.avoided(now, r)) {
		return choice, best != nil
	}
	if !b.board.Start(reserve.Server).Idle() {
		return Choice{}, false
	}
	predicted, cached := b.predict(now, reserve, r, reserve == preferred)
	return Choice{Server: reserve.Server, PredictedLatency: predicted, CachedTokens: cached}, true
}

// heldByStart reports whether a server that isn't suspended gets no more requests for now because of its
// slow start. If there is no other server that isn't suspended, one with nothing in flight gets a request, and
// the rest are refused.
func (b *Balancer) heldByStart(now time.Time, s *server) bool {
	return s.suspension == 0 && b.board.HeldByStart(now, s.Server)
}

// avoided reports whether the server is suspended and the request doesn't test it.
func (s *server) avoided(now time.Time, r Request) bool {
	return s.suspension > 0 && (now.Before(s.suspendedUntil) || len(s.trials) > 0 || !r.Idempotent)
}

// sortedServers returns the servers ordered by id, so that equal seeds give equal
// choices.
func (b *Balancer) sortedServers() []*server {
	all := make([]*server, 0, len(b.servers))
	for _, s := range b.servers {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// preferredServer returns the server to which every gateway maps the shared
// segments of a prompt, by rendezvous hashing over the servers that are neither
// suspended, nor in backoff, nor limited.
func (b *Balancer) preferredServer(now time.Time, r Request) *server {
	if len(r.Segments) < 2 || b.cacheTokens == 0 {
		return nil
	}
	key := xxhash.Sum64String(r.Segments[len(r.Segments)-2].ID)
	var preferred *server
	var highest uint64
	for id, s := range b.servers {
		if limited, _ := b.board.Limits(now, s.Server); limited || s.suspension > 0 || !b.board.Admits(now, s.Server) {
			continue
		}
		score := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(id), key))
		if preferred == nil || score > highest {
			preferred, highest = s, score
		}
	}
	return preferred
}

// predict returns the expected time to the first event and the number of cached
// prompt tokens.
func (b *Balancer) predict(now time.Time, s *server, r Request, preferred bool) (time.Duration, int64) {
	load, cached := b.load(s, r, preferred)
	predicted := b.latency.Latency(&s.latency, load)
	if b.cacheTokens > 0 {
		predicted += s.backlog(now)
	}
	return predicted, cached
}

// load returns what the server does before the first event of the request, as far as this
// gateway knows, and the number of cached prompt tokens.
func (b *Balancer) load(s *server, r Request, preferred bool) (estimate.Load, int64) {
	if b.cacheTokens == 0 {
		return estimate.Load{Rounds: 1 + float64(s.running)/float64(max(1, s.Slots))}, 0
	}
	cached := s.cache.prefixTokens(r.Segments)
	if preferred {
		cached = max(cached, sharedTokens(r.Segments))
	}
	return s.promptLoad(r, cached), cached
}

func (s *server) promptLoad(r Request, cached int64) estimate.Load {
	return estimate.Load{
		Rounds: 1, Tokens: float64(uncachedTokens(r, cached) + s.pendingTokens), Running: float64(s.running),
	}
}

// uncachedTokens returns the number of prompt tokens that the server has to process.
func uncachedTokens(r Request, cached int64) int64 {
	return r.PromptTokens - min(cached, r.PromptTokens)
}

// backlog estimates the work at a server that other gateways sent, from how late
// first events were recently or are now.
func (s *server) backlog(now time.Time) time.Duration {
	backlog := time.Duration(float64(s.delay) * math.Exp(-now.Sub(s.delayedAt).Seconds()/delayDecay.Seconds()))
	for _, p := range s.unread {
		backlog = max(backlog, now.Sub(p.firstEventDue))
	}
	return backlog
}

// penalty returns the cost of a server beyond its predicted latency: recent
// failures, traffic between failure domains, and suspension.
func (b *Balancer) penalty(now time.Time, s *server, r Request) time.Duration {
	cost := time.Duration(s.failureRate * float64(failureCost))
	if s.FailureDomain != b.domain {
		cost += crossDomainCost
	}
	if _, unconfirmed := b.board.Limits(now, s.Server); unconfirmed {
		cost -= confirmCredit
	}
	switch {
	case s.suspension == 0:
	case s.avoided(now, r):
		cost += time.Minute
	default:
		// One request at a time tests the server, with the failure penalty waived.
		// Other requests use it only if every other server costs a minute more.
		cost -= time.Duration(s.failureRate * float64(failureCost))
	}
	return cost
}

// latencyCost returns the cost of a predicted latency. Below the floor most of it is left out.
func latencyCost(r Request, predicted time.Duration) time.Duration {
	return max(predicted, latencyFloor(r)) + time.Duration(float64(predicted)*latencyShare)
}

// latencyFloor returns the predicted latency below which servers are considered
// almost equally fast, so that cached tokens decide.
func latencyFloor(r Request) time.Duration {
	return time.Duration(float64(r.Goal) * latencyFloorShare)
}

// recomputeCost returns the engine time that processing uncached shared segments
// takes away from other requests.
func (b *Balancer) recomputeCost(s *server, r Request, cached int64) time.Duration {
	if b.cacheTokens == 0 {
		return 0
	}
	missing := max(0, sharedTokens(r.Segments)-cached)
	return time.Duration(float64(missing) / b.latency.TokensPerMs(&s.latency) * float64(time.Millisecond))
}

// sharedTokens returns the size of all segments but the last, which is specific to
// the request.
func sharedTokens(segments []call.PrefixSegment) int64 {
	var sum int64
	for i := 0; i+1 < len(segments); i++ {
		sum += segments[i].Tokens
	}
	return sum
}

// RecordSent records that a request was sent to the server, until RecordEnd. The
// request's shared segments are recorded as cached at once, since the server
// processes later requests after this one.
func (b *Balancer) RecordSent(now time.Time, id string, r Request, c Choice) {
	s, ok := b.servers[id]
	if !ok {
		return
	}
	s.unread[r.ID] = b.newPrediction(now, s, r, c)
	s.running++
	s.pendingTokens += uncachedTokens(r, c.CachedTokens)
	if len(r.Segments) > 1 {
		s.cache.add(now, r.Segments[:len(r.Segments)-1])
	}
	if s.suspension > 0 {
		s.trials[r.ID] = true
	}
	b.board.RecordSent(now, s.Server)
	if start := b.board.Start(s.Server); start != nil {
		start.RecordSent(now, r.ID, c.PredictedLatency)
	}
}

// newPrediction returns what is predicted for a request that is sent now. Its time to the
// first event shows the server's speed unless the server may begin with less than all of
// the load: it may have shared segments cached from other gateways, and it has processed a
// part of the prompts that wait.
func (b *Balancer) newPrediction(now time.Time, s *server, r Request, c Choice) prediction {
	p := prediction{sentAt: now, firstEventDue: now.Add(c.PredictedLatency)}
	_, ambiguous := s.unread[r.ID]
	if b.cacheTokens == 0 {
		p.load, _ = b.load(s, r, false)
		p.comparable = !ambiguous
		return p
	}
	p.load = s.promptLoad(r, c.CachedTokens)
	p.comparable = !ambiguous && s.pendingTokens == 0 && c.CachedTokens >= sharedTokens(r.Segments)
	return p
}

// RecordFirstEvent records that the server has processed a request's prompt.
func (b *Balancer) RecordFirstEvent(now time.Time, id string, r Request, cached int64) {
	s, ok := b.servers[id]
	if !ok {
		return
	}
	if p, pending := s.unread[r.ID]; pending {
		s.delay = (s.backlog(now) + max(0, now.Sub(p.firstEventDue))) / 2
		s.delayedAt = now
		delete(s.unread, r.ID)
		if p.comparable {
			b.latency.Record(&s.latency, p.load, now.Sub(p.sentAt))
		}
	}
	s.pendingTokens = max(0, s.pendingTokens-uncachedTokens(r, cached))
	s.cache.add(now, r.Segments)
	if start := b.board.Start(s.Server); start != nil {
		start.RecordFirstEvent(now, r.ID, b.meanRunning())
	}
}

// meanRunning returns the number of this gateway's requests that run, per server.
func (b *Balancer) meanRunning() float64 {
	sum := 0
	for _, s := range b.servers {
		sum += s.running
	}
	return float64(sum) / float64(len(b.servers))
}

// RecordRejected records that the server refused or failed a request.
func (b *Balancer) RecordRejected(now time.Time, id string) {
	if s, ok := b.servers[id]; ok {
		s.slowDown(now, b.board)
	}
}

func (s *server) slowDown(now time.Time, board *notice.Board) {
	if start := board.Start(s.Server); start != nil {
		start.RecordFailure(now)
	}
}

// RecordUnread records that a request ended before its first event, so that its prompt no
// longer waits at the server. The time until then shows nothing about the server's speed.
func (b *Balancer) RecordUnread(id string, r Request, cached int64) {
	if s, ok := b.servers[id]; ok {
		delete(s.unread, r.ID)
		s.pendingTokens = max(0, s.pendingTokens-uncachedTokens(r, cached))
	}
}

// RecordEnd records the end of a request that was sent.
func (b *Balancer) RecordEnd(id string, r Request) {
	if s, ok := b.servers[id]; ok {
		delete(s.unread, r.ID)
		s.running = max(0, s.running-1)
		delete(s.trials, r.ID)
		if start := b.board.Start(s.Server); start != nil {
			start.RecordEnd(r.ID)
		}
	}
}

// RecordSuccess records a successful response and ends a suspension.
func (b *Balancer) RecordSuccess(id string) {
	if s, ok := b.servers[id]; ok {
		s.failureRate -= s.failureRate / failureWindow
		if s.suspension > 0 && b.endSuspension(s) {
			// It would keep the server idle, as it decays with responses only.
			s.failureRate = 0
		}
	}
}

// endSuspension ends a suspension, and reports whether the server starts slowly, as all gateways return to it
// at once.
func (b *Balancer) endSuspension(s *server) bool {
	s.suspension = 0
	b.board.StartSlowly(s.Server)
	return b.board.Start(s.Server) != nil
}

// RecordFailure records a response that reports a failure of the server. It ends a
// suspension, since the server is reachable.
func (b *Balancer) RecordFailure(id string) {
	if s, ok := b.servers[id]; ok {
		s.failureRate += (1 - s.failureRate) / failureWindow
		if s.suspension > 0 {
			b.endSuspension(s)
		}
	}
}

// RecordUnreachable records that the server did not respond, and suspends it for a
// time that doubles with each consecutive failure.
func (b *Balancer) RecordUnreachable(now time.Time, id string) {
	s, ok := b.servers[id]
	if !ok {
		return
	}
	s.failureRate += (1 - s.failureRate) / failureWindow
	s.slowDown(now, b.board)
	if now.Before(s.suspendedUntil) {
		return
	}
	s.suspension = min(max(minSuspension, 2*s.suspension), maxSuspension)
	s.suspendedUntil = now.Add(s.suspension)
}

// AcceptsIn returns the time until this gateway may send a request to a server of the pool. It is 0 if
// it may now, and also if there is no server.
func (b *Balancer) AcceptsIn(now time.Time) time.Duration {
	held := false
	for _, s := range b.servers {
		if b.heldByStart(now, s) {
			if b.board.Start(s.Server).Idle() {
				return 0
			}
			held = true
		}
	}
	var shortest time.Duration
	for _, s := range b.servers {
		if held && s.avoided(now, Request{Idempotent: true}) {
			continue
		}
		wait := b.board.Wait(now, s.Server)
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// Serves reports whether a server has the software version.
func (b *Balancer) Serves(version string) bool {
	for _, s := range b.servers {
		if s.Version == version {
			return true
		}
	}
	return false
}

// Available returns the number of servers that are not suspended.
func (b *Balancer) Available(now time.Time) int {
	n := 0
	for _, s := range b.servers {
		if s.suspension == 0 || now.After(s.suspendedUntil) {
			n++
		}
	}
	return n
}
