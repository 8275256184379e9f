// Package balance selects the backend server for a request. For each server it
// predicts the time to the first event from the prompt segments that the server
// probably has cached and from the requests already sent there, adds a penalty for
// recent failures, and selects the server with the lowest cost. It is designed for
// two load patterns: bursts of prompts that share long prefixes, and the
// simultaneous failure of a quarter of a pool.
package balance

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/estimate"
	"github.com/crocusline/crocusline/models/notice"
	"github.com/crocusline/crocusline/models/roster"
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
	// ordered are the servers by id, so that equal seeds give equal choices.
	ordered   []*server
	evacuated []roster.Server
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
	b.ordered = slices.SortedFunc(maps.Values(current), func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
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
