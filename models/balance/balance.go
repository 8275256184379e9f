// Package balance chooses the backend server for a request. It predicts, for
// each server, the time to the first event from the prompt parts that the server
// probably has cached and from the work that was sent there, and takes the least,
// counting failures seen as lost time. It answers two load patterns: bursts of
// prompts that share long parts, and a quarter of a pool failing at once.
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
	"github.com/crocusline/crocusline/models/roster"
)

// Costs that the choice weighs, as time that a caller would wait.
const (
	// prefillRate is the prompt tokens that an engine reads in a millisecond, from
	// the engines' data sheet.
	prefillRate = 37.9
	// firstEvent is the time from an idle engine's last prompt token to its first
	// event, from the same sheet.
	firstEvent = 24 * time.Millisecond
	// slotCost is what each running request adds: the sheet's longer steps, for
	// the first few steps.
	slotCost = time.Millisecond
	// plainCost is the usual work of a call to a plain service, from the sheets of
	// both deployments.
	plainCost = 40 * time.Millisecond
	// crossingCost stands for the price and delay of bytes between failure domains.
	crossingCost = 10 * time.Millisecond
	// failureCost is the time lost to a failed attempt: a timeout and a repeat.
	failureCost = 700 * time.Millisecond
	// comfortPart of the goal leaves time for what is not seen from here.
	comfortPart = 0.4
	// delayMemory is about how long an engine works off what delayed a request.
	delayMemory = 600 * time.Millisecond
)

// Bounds on how long a server is left alone after it could not be reached.
const (
	firstSuspension   = 400 * time.Millisecond
	longestSuspension = 3 * time.Second
	// failureMemory is the number of answers over which the share of failures is
	// averaged.
	failureMemory = 8.0
)

// Option changes a Balancer at construction.
type Option func(*Balancer)

// WithFailureDomain sets where the entry itself is.
func WithFailureDomain(domain string) Option { return func(b *Balancer) { b.domain = domain } }

// WithRand sets the random source that breaks ties.
func WithRand(r *rand.Rand) Option { return func(b *Balancer) { b.rand = r } }

// Balancer knows the servers of one pool. It can't be used by several goroutines
// at once.
type Balancer struct {
	domain  string
	rand    *rand.Rand
	memory  int64
	servers map[string]*server
}

// New returns a balancer without servers.
func New(opts ...Option) *Balancer {
	b := &Balancer{rand: rand.New(rand.NewPCG(0, 0)), servers: map[string]*server{}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// server is what the entry believes of a server.
type server struct {
	roster.Server
	running int
	// unread is the prompt tokens of requests without a first event.
	unread int64
	// waiting are when those requests should have had one.
	waiting map[string]time.Time
	// delay is by how much first events came later than predicted, as of delayed.
	delay      time.Duration
	delayed    time.Time
	cache      *cache
	failures   float64
	suspension time.Duration
	suspended  time.Time
	// trials counts the requests under way that test a suspended server.
	trials int
}

// SetServers replaces the servers; memory is the number of tokens that each can
// cache, 0 for plain services.
func (b *Balancer) SetServers(servers []roster.Server, memory int64) {
	b.memory = memory
	current := make(map[string]*server, len(servers))
	for _, s := range servers {
		known, ok := b.servers[s.ID]
		if !ok || known.Started != s.Started {
			known = &server{cache: newCache(memory), waiting: map[string]time.Time{}}
		}
		known.Server = s
		current[s.ID] = known
	}
	b.servers = current
}

// Request is what a request asks of a server.
type Request struct {
	// ID is the request's id.
	ID           string
	Parts        []call.PrefixSegment
	PromptTokens int64
	// Exclude names servers that were tried already.
	Exclude []string
	// Goal is the time to the first event that the caller should see at most.
	Goal time.Duration
	// Idempotent requests may test servers that failed.
	Idempotent bool
}

// Choice is the server to send a request to.
type Choice struct {
	Server roster.Server
	// PredictedLatency is the expected time to the first event, or to the answer.
	PredictedLatency time.Duration
	// CachedTokens is the prompt tokens that the server is believed to have.
	CachedTokens int64
	// Trial says that the server failed before and is tested.
	Trial bool
}

// Choose returns the server that will probably answer first.
func (b *Balancer) Choose(now time.Time, w Request) (Choice, bool) {
	home := b.home(w)
	var best *server
	var choice Choice
	bestCost := time.Duration(math.MaxInt64)
	for _, s := range b.sorted() {
		if slices.Contains(w.Exclude, s.ID) {
			continue
		}
		predicted, cached := b.predict(now, s, w, s == home)
		cost := max(predicted, comfort(w)) + rereadCost(w, cached) + b.penalty(now, s, w) + time.Duration(b.rand.Int64N(int64(time.Millisecond)))
		if cost < bestCost {
			best, bestCost = s, cost
			choice = Choice{Server: s.Server, PredictedLatency: predicted, CachedTokens: cached, Trial: s.suspension > 0}
		}
	}
	return choice, best != nil
}

// sorted returns the servers by id, so that equal seeds choose alike.
func (b *Balancer) sorted() []*server {
	all := make([]*server, 0, len(b.servers))
	for _, s := range b.servers {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// home is the server that entries agree on for the shared part of a prompt, by
// rendezvous hashing.
func (b *Balancer) home(w Request) *server {
	if len(w.Parts) < 2 || b.memory == 0 {
		return nil
	}
	key := xxhash.Sum64String(w.Parts[len(w.Parts)-2].ID)
	var home *server
	var highest uint64
	for id, s := range b.servers {
		score := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(id), key))
		if s.suspension == 0 && (home == nil || score > highest) {
			home, highest = s, score
		}
	}
	return home
}

// predict is the expected time to the first event and the cached tokens.
func (b *Balancer) predict(now time.Time, s *server, w Request, home bool) (time.Duration, int64) {
	if b.memory == 0 {
		wait := float64(s.running) / float64(max(1, s.Slots))
		return plainCost + time.Duration(wait*float64(plainCost)), 0
	}
	cached := s.cache.shared(w.Parts)
	if home {
		cached = max(cached, sharedTokens(w.Parts))
	}
	tokens := float64(w.PromptTokens-min(cached, w.PromptTokens)) + float64(s.unread)
	predicted := firstEvent + time.Duration(tokens/prefillRate*float64(time.Millisecond)) +
		time.Duration(s.running)*slotCost + s.backlog(now)
	return predicted, cached
}

// backlog is the work ahead at a server that this entry did not send, by how late
// first events were lately or are now.
func (s *server) backlog(now time.Time) time.Duration {
	backlog := time.Duration(float64(s.delay) * math.Exp(-now.Sub(s.delayed).Seconds()/delayMemory.Seconds()))
	for _, due := range s.waiting {
		backlog = max(backlog, now.Sub(due))
	}
	return backlog
}

// penalty is the time that speaks against a server beside the prediction.
func (b *Balancer) penalty(now time.Time, s *server, w Request) time.Duration {
	cost := time.Duration(s.failures * float64(failureCost))
	if s.FailureDomain != b.domain {
		cost += crossingCost
	}
	switch {
	case s.suspension == 0:
	case now.Before(s.suspended) || s.trials > 0 || !w.Idempotent:
		cost += time.Minute
	default:
		// One request at a time tests the server, for as long as others wait little.
		cost -= time.Duration(s.failures * float64(failureCost))
	}
	return cost
}

// comfort is the time to the first event below which servers count as equally
// fast, so that what is cached decides.
func comfort(w Request) time.Duration {
	return time.Duration(float64(w.Goal) * comfortPart)
}

// rereadCost is the engine time that reading shared parts again takes from others.
func rereadCost(w Request, cached int64) time.Duration {
	missing := max(0, sharedTokens(w.Parts)-cached)
	return time.Duration(float64(missing) / prefillRate * float64(time.Millisecond))
}

// sharedTokens is the size of all parts but the last, which is the request's own.
func sharedTokens(parts []call.PrefixSegment) int64 {
	var sum int64
	for i := 0; i+1 < len(parts); i++ {
		sum += parts[i].Tokens
	}
	return sum
}

// RecordSent notes a request that is sent to the server; Ended takes it back. Its shared
// parts count as cached from now on, since requests that follow are read later.
func (b *Balancer) RecordSent(now time.Time, id string, w Request, c Choice) {
	s, known := b.servers[id]
	if !known {
		return
	}
	cached := c.CachedTokens
	s.running++
	s.waiting[w.ID] = now.Add(c.PredictedLatency)
	s.unread += w.PromptTokens - min(cached, w.PromptTokens)
	if len(w.Parts) > 1 {
		s.cache.add(now, w.Parts[:len(w.Parts)-1])
	}
	if s.suspension > 0 {
		s.trials++
	}
}

// RecordFirstEvent notes that the server has read a request's prompt.
func (b *Balancer) RecordFirstEvent(now time.Time, id string, w Request, cached int64) {
	s, known := b.servers[id]
	if !known {
		return
	}
	if due, waited := s.waiting[w.ID]; waited {
		s.delay = (s.backlog(now) + max(0, now.Sub(due))) / 2
		s.delayed = now
		delete(s.waiting, w.ID)
	}
	s.unread = max(0, s.unread-(w.PromptTokens-min(cached, w.PromptTokens)))
	s.cache.add(now, w.Parts)
}

// RecordEnd notes the end of a request that was sent.
func (b *Balancer) RecordEnd(id string, w Request) {
	if s, known := b.servers[id]; known {
		delete(s.waiting, w.ID)
		s.running = max(0, s.running-1)
		s.trials = max(0, s.trials-1)
	}
}

// RecordSuccess notes an answer.
func (b *Balancer) RecordSuccess(id string) {
	if s, known := b.servers[id]; known {
		s.failures -= s.failures / failureMemory
		s.suspension = 0
	}
}

// RecordFailure notes an answer that reports a failure of the server.
func (b *Balancer) RecordFailure(id string) {
	if s, known := b.servers[id]; known {
		s.failures += (1 - s.failures) / failureMemory
		s.suspension = 0
	}
}

// RecordUnreachable notes that the server did not answer, and leaves it alone for a
// time that doubles with each failure in a row.
func (b *Balancer) RecordUnreachable(now time.Time, id string) {
	s, known := b.servers[id]
	if !known {
		return
	}
	s.failures += (1 - s.failures) / failureMemory
	if now.Before(s.suspended) {
		return
	}
	s.suspension = min(max(firstSuspension, 2*s.suspension), longestSuspension)
	s.suspended = now.Add(s.suspension)
}

// Available returns the number of servers that are not suspended.
func (b *Balancer) Available(now time.Time) int {
	n := 0
	for _, s := range b.servers {
		if s.suspension == 0 || now.After(s.suspended) {
			n++
		}
	}
	return n
}
