package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
)

// Defaults of the options.
const (
	DefaultCandidates  = 3
	DefaultLoadDecay   = 5 * time.Second
	DefaultLoadLag     = 500 * time.Millisecond
	DefaultLoadMargin  = 1.0 / 16
	DefaultBackoff     = 500 * time.Millisecond
	DefaultMaxBackoff  = 15 * time.Second
	DefaultPrefixBytes = 1024
)

//go:generate stringer -type=Policy -linecomment -output=policy_string.go

// Policy is the way servers are chosen.
type Policy int

// The policies. All but Affinity are baselines for measurements.
const (
	// Affinity prefers the servers that hold the prompt's prefix while they
	// are not busier than the rest.
	Affinity Policy = iota // affinity
	// PureAffinity always takes the servers that hold the prefix.
	PureAffinity // pureAffinity
	// TwoChoices takes the less loaded of two random servers.
	TwoChoices // twoChoices
	// RoundRobin takes the servers in turn.
	RoundRobin // roundRobin
	// Random takes any server.
	Random // random
)

// Option changes a Placement at construction.
type Option func(*Selector)

// WithPolicy selects the way servers are chosen.
func WithPolicy(p Policy) Option { return func(pl *Selector) { pl.policy = p } }

// WithCandidates sets how many servers a request may be tried at.
func WithCandidates(n int) Option { return func(pl *Selector) { pl.candidates = n } }

// WithLocation sets the failure domain and region of the entry itself.
func WithLocation(domain, region string) Option {
	return func(pl *Selector) { pl.domain, pl.region = domain, region }
}

// WithLoadLag sets how late an observed load may be.
func WithLoadLag(d time.Duration) Option { return func(pl *Selector) { pl.lag = d } }

// WithLoadMargin sets how much busier than the mean, as a part of its slots, a
// server may be and still be preferred for the prefix that it holds.
func WithLoadMargin(spread float64) Option { return func(pl *Selector) { pl.spread = spread } }

// WithLoadDecay sets how fast an observed load fades to the mean of the pool. 0
// keeps it.
func WithLoadDecay(d time.Duration) Option { return func(pl *Selector) { pl.memory = d } }

// WithBackoff sets how long a failed server is left alone at first and at most.
func WithBackoff(first, most time.Duration) Option {
	return func(pl *Selector) { pl.backoff, pl.maxBackoff = first, most }
}

// WithPrefixBytes sets the length of the prompt's prefix that affinity goes by.
func WithPrefixBytes(n int) Option { return func(pl *Selector) { pl.prefixBytes = n } }

// WithRand sets the random source.
func WithRand(r *rand.Rand) Option { return func(pl *Selector) { pl.rand = r } }

// Request is what the choice goes by.
type Request struct {
	Prompt string
	Rank   rank.Rank
	// Exclude names servers that were tried already.
	Exclude []string
}

// Candidates are the servers to try.
type Candidates struct {
	// Servers are in the order in which to try them.
	Servers []string
	// Probe names failed servers that are due for one light probe, whose result
	// the caller reports by Succeeded or Failed.
	Probe []string
	// Preferred says whether the first server is the one most likely to hold
	// the prompt's prefix.
	Preferred bool
}

// Selector chooses servers of one pool.
type Selector struct {
	policy      Policy
	candidates  int
	domain      string
	region      string
	memory      time.Duration
	lag         time.Duration
	spread      float64
	backoff     time.Duration
	maxBackoff  time.Duration
	prefixBytes int
	rand        *rand.Rand

	servers []*state
	turn    int
}

// New returns a placement without servers.
func New(opts ...Option) *Selector {
	p := &Selector{
		candidates:  DefaultCandidates,
		memory:      DefaultLoadDecay,
		lag:         DefaultLoadLag,
		spread:      DefaultLoadMargin,
		backoff:     DefaultBackoff,
		maxBackoff:  DefaultMaxBackoff,
		prefixBytes: DefaultPrefixBytes,
		rand:        rand.New(rand.NewPCG(0, 0)),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetServers replaces the pool's servers. What is known of those that stay is
// kept.
func (p *Selector) SetServers(servers []Server) {
	next := make([]*state, 0, len(servers))
	for _, s := range servers {
		st := p.find(s.Name)
		if st == nil {
			st = &state{}
		}
		st.Server = s
		next = append(next, st)
	}
	p.servers = next
}

// Choose returns the servers to try, or a *refusal.Error when there is none.
func (p *Selector) Choose(now time.Time, r Request) (Candidates, error) {
	c := Candidates{Probe: p.due(now)}
	usable := p.usable(r.Exclude)
	if len(usable) == 0 {
		return c, refusal.New(refusal.NoServer, p.comeBack(now), "no server of the pool takes work now")
	}
	for _, s := range p.order(now, r, usable) {
		if len(c.Servers) < p.candidates {
			c.Servers = append(c.Servers, s.Name)
		}
	}
	if p.policy == Affinity || p.policy == PureAffinity {
		c.Preferred = c.Servers[0] == p.byPrefix(r.Prompt, usable)[0].Name
	}
	first := p.find(c.Servers[0])
	first.sent = append(first.sent, now)
	return c, nil
}

// ObserveLoad takes in the load that an answer of a server carried.
func (p *Selector) ObserveLoad(now time.Time, server string, load queue.Load) {
	if s := p.find(server); s != nil {
		s.observe(now, load, p.lag)
	}
}

// RecordFailure leaves a server alone for a time that doubles with each failure.
func (p *Selector) RecordFailure(now time.Time, server string) {
	s := p.find(server)
	if s == nil || s.failed() && !s.probing && now.Before(s.until) {
		return
	}
	d := p.backoff << min(s.failures, 16)
	s.failures++
	s.until = now.Add(min(d, p.maxBackoff))
	s.probing = false
}

// RecordSuccess takes a server into use again.
func (p *Selector) RecordSuccess(_ time.Time, server string) {
	if s := p.find(server); s != nil {
		s.failures, s.probing = 0, false
	}
}

// due returns the failed servers to be probed, each once for each backoff.
func (p *Selector) due(now time.Time) []string {
	var due []string
	for _, s := range p.servers {
		if s.failed() && !s.probing && !now.Before(s.until) {
			s.probing = true
			// A probe that is never reported on counts as failed.
			s.until = now.Add(p.maxBackoff)
			due = append(due, s.Name)
		} else if s.probing && !now.Before(s.until) {
			s.probing = false
		}
	}
	return due
}

func (p *Selector) usable(exclude []string) []*state {
	var usable []*state
	for _, s := range p.servers {
		if s.usable() && !slices.Contains(exclude, s.Name) {
			usable = append(usable, s)
		}
	}
	return usable
}

// comeBack is when the first failed server may be in use again.
func (p *Selector) comeBack(now time.Time) time.Duration {
	after := p.maxBackoff
	for _, s := range p.servers {
		if s.failed() {
			after = min(after, max(s.until.Sub(now), p.backoff))
		}
	}
	return after
}

func (p *Selector) find(name string) *state {
	for _, s := range p.servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// prefix is the hash of the part of a prompt that affinity goes by.
func (p *Selector) prefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), p.prefixBytes)])
}
