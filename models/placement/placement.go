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

// Policy is the algorithm that orders the servers.
type Policy int

// The policies. All but Affinity are baselines for measurements.
const (
	// Affinity prefers the servers that are likely to have the prompt's prefix
	// cached, unless they are more loaded than the others.
	Affinity Policy = iota // affinity
	// PureAffinity always prefers the servers that are likely to have the prefix
	// cached.
	PureAffinity // pureAffinity
	// TwoChoices prefers the less loaded of two random servers.
	TwoChoices // twoChoices
	// RoundRobin rotates through the servers.
	RoundRobin // roundRobin
	// Random orders the servers randomly.
	Random // random
)

// Option configures a Selector.
type Option func(*Selector)

// WithPolicy sets the selection policy.
func WithPolicy(p Policy) Option { return func(pl *Selector) { pl.policy = p } }

// WithCandidates sets the maximum number of servers on which a request is tried.
func WithCandidates(n int) Option { return func(pl *Selector) { pl.candidates = n } }

// WithLocation sets the failure domain and region of the entry itself.
func WithLocation(domain, region string) Option {
	return func(pl *Selector) { pl.domain, pl.region = domain, region }
}

// WithLoadLag sets how old a load report may be when it arrives. Requests that were
// sent during this time are added to the reported load.
func WithLoadLag(d time.Duration) Option { return func(pl *Selector) { pl.loadLag = d } }

// WithLoadMargin sets by how much the load of a server may exceed the mean, as a
// fraction of its slots, while the server is still preferred for its cached prefix.
func WithLoadMargin(margin float64) Option { return func(pl *Selector) { pl.loadMargin = margin } }

// WithLoadDecay sets the time constant with which a reported load decays to the
// mean of the pool. 0 disables the decay.
func WithLoadDecay(d time.Duration) Option { return func(pl *Selector) { pl.loadDecay = d } }

// WithBackoff sets the initial and the maximum time for which a failed server is
// excluded.
func WithBackoff(initial, maximum time.Duration) Option {
	return func(pl *Selector) { pl.backoff, pl.maxBackoff = initial, maximum }
}

// WithPrefixBytes sets the length of the prompt's prefix that affinity hashes.
func WithPrefixBytes(n int) Option { return func(pl *Selector) { pl.prefixBytes = n } }

// WithRand sets the random source.
func WithRand(r *rand.Rand) Option { return func(pl *Selector) { pl.rand = r } }

// Request describes a request for which servers are selected.
type Request struct {
	Prompt string
	Rank   rank.Rank
	// Exclude lists the servers that have already been tried.
	Exclude []string
}

// Candidates are the servers on which to try a request.
type Candidates struct {
	// Servers are in order of preference.
	Servers []string
	// Probe lists the failed servers that are due for one probe, whose result the
	// caller reports with RecordSuccess or RecordFailure.
	Probe []string
	// Preferred reports whether the first server is the one most likely to have the
	// prompt's prefix cached.
	Preferred bool
}

// Selector selects among the servers of one pool.
type Selector struct {
	policy      Policy
	candidates  int
	domain      string
	region      string
	loadDecay   time.Duration
	loadLag     time.Duration
	loadMargin  float64
	backoff     time.Duration
	maxBackoff  time.Duration
	prefixBytes int
	rand        *rand.Rand

	servers        []*serverState
	roundRobinNext int
}

// New returns a Selector without servers.
func New(opts ...Option) *Selector {
	p := &Selector{
		candidates:  DefaultCandidates,
		loadDecay:   DefaultLoadDecay,
		loadLag:     DefaultLoadLag,
		loadMargin:  DefaultLoadMargin,
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

// SetServers replaces the pool's servers. The state of the servers that remain is
// kept.
func (p *Selector) SetServers(servers []Server) {
	next := make([]*serverState, 0, len(servers))
	for _, s := range servers {
		st := p.find(s.Name)
		if st == nil {
			st = &serverState{}
		}
		st.Server = s
		next = append(next, st)
	}
	p.servers = next
}

// Choose returns the servers on which to try a request, or a *refusal.Error if
// there is none.
func (p *Selector) Choose(now time.Time, r Request) (Candidates, error) {
	c := Candidates{Probe: p.dueProbes(now)}
	usable := p.usable(r.Exclude)
	if len(usable) == 0 {
		return c, refusal.New(refusal.NoServer, p.retryAfter(now), "no server of the pool takes work now")
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
	first.sentAt = append(first.sentAt, now)
	return c, nil
}

// ObserveLoad records the load that a server reported in a response.
func (p *Selector) ObserveLoad(now time.Time, server string, load queue.Load) {
	if s := p.find(server); s != nil {
		s.setLoad(now, load, p.loadLag)
	}
}

// RecordFailure excludes a server for a time that doubles with each consecutive
// failure.
func (p *Selector) RecordFailure(now time.Time, server string) {
	s := p.find(server)
	if s == nil || s.failed() && !s.probing && now.Before(s.probeAt) {
		return
	}
	d := p.backoff << min(s.failures, 16)
	s.failures++
	s.probeAt = now.Add(min(d, p.maxBackoff))
	s.probing = false
}

// RecordSuccess makes a server available again.
func (p *Selector) RecordSuccess(_ time.Time, server string) {
	if s := p.find(server); s != nil {
		s.failures, s.probing = 0, false
	}
}

// dueProbes returns the failed servers to be probed, each once per backoff.
func (p *Selector) dueProbes(now time.Time) []string {
	var due []string
	for _, s := range p.servers {
		if s.failed() && !s.probing && !now.Before(s.probeAt) {
			s.probing = true
			// A probe whose result is not reported by then is treated as failed.
			s.probeAt = now.Add(p.maxBackoff)
			due = append(due, s.Name)
		} else if s.probing && !now.Before(s.probeAt) {
			s.probing = false
		}
	}
	return due
}

func (p *Selector) usable(exclude []string) []*serverState {
	var usable []*serverState
	for _, s := range p.servers {
		if s.usable() && !slices.Contains(exclude, s.Name) {
			usable = append(usable, s)
		}
	}
	return usable
}

// retryAfter returns the time until the first failed server may be available again.
func (p *Selector) retryAfter(now time.Time) time.Duration {
	after := p.maxBackoff
	for _, s := range p.servers {
		if s.failed() {
			after = min(after, max(s.probeAt.Sub(now), p.backoff))
		}
	}
	return after
}

func (p *Selector) find(name string) *serverState {
	for _, s := range p.servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// prefixHash returns the hash of the part of a prompt that affinity uses.
func (p *Selector) prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), p.prefixBytes)])
}
