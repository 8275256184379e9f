// Package notice keeps what backend servers announce about the requests that they take, as this
// gateway and others learned it from responses, and decides by that which servers may get a
// request. A backoff is asked of one gateway. A limit applies to all gateways together, so they
// share what they know of it, and divide it among those that live.
package notice

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/route"
)

const (
	// confirmInterval is the time without a response after which a limit may no longer be named.
	confirmInterval = 2 * time.Second
	// publishInterval is the shortest time between two writes about a server. What a gateway
	// observed counts for so long against what it reads: it may be newer.
	publishInterval = time.Second
	// forgetAfter is how long a server that is not listed is remembered. Its entry may be missing
	// while the store is unreachable.
	forgetAfter = time.Minute
)

// Response is what a gateway learns about a server from the head of a response.
type Response struct {
	call.Notice
	// SentAt is when the request was sent.
	SentAt time.Time
	// Proven is whether the response proves that the server itself has written it. Only then does
	// the absence of a limit mean that there is none.
	Proven bool
}

// incarnation identifies the start of a server.
type incarnation struct {
	id      string
	started int64
}

// Board holds the notices of all servers. All times are from the caller's clock.
//
// The loads that it answers are servers in need, which name a limit of requests for a fleet of any
// size, servers that turn requests away, and servers that have just started or recovered and are slow.
type Board struct {
	fleet   *Fleet
	servers map[incarnation]*terms
	pools   map[string]route.Pool
	// coldOver and coldSlack are what a cold server takes beyond its limit within a second.
	coldOver, coldSlack float64
	// slowStart is whether servers start slowly, listedAt when servers were last listed, starts are the starts
	// that were listed last, and endedStarts the slow starts that have ended.
	slowStart   bool
	listedAt    time.Time
	starts      map[string]start
	endedStarts []EndedStart
}

// Option configures a Board.
type Option func(*Board)

// WithColdTolerance sets how many requests all gateways together may send a cold server within any
// second: over times its limit, and slack.
func WithColdTolerance(over, slack float64) Option {
	return func(b *Board) { b.coldOver, b.coldSlack = over, slack }
}

// NewBoard returns a board without notices for a gateway of the fleet, or for one without others.
func NewBoard(f *Fleet, opts ...Option) *Board {
	b := &Board{fleet: f, servers: map[incarnation]*terms{}, starts: map[string]start{}, coldOver: DefaultColdOver, coldSlack: DefaultColdSlack}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Fleet returns the gateways that share limits, or nil.
func (b *Board) Fleet() *Fleet { return b.fleet }

func keyOf(s roster.Server) incarnation { return incarnation{s.ID, s.Started} }

// termsOf returns the terms of the incarnation, which are added if there are none.
func (b *Board) termsOf(now time.Time, key incarnation) *terms {
	t, exists := b.servers[key]
	if !exists {
		t = &terms{listedAt: now, cold: coldTerms{sequence: noSequence}}
		b.servers[key] = t
	}
	return t
}

// Record records a response of the server, and reports whether it announces anything new. A longer
// backoff extends an earlier one, a shorter one doesn't cut it short.
func (b *Board) Record(now time.Time, s roster.Server, r Response) bool {
	t, known := b.servers[keyOf(s)]
	if !known {
		if r.Backoff == 0 && r.Limit == 0 {
			return false
		}
		t = b.termsOf(now, keyOf(s))
	}
	news := false
	if until := now.Add(r.Backoff); r.Backoff > 0 && until.After(t.backoffUntil) {
		t.backoffUntil = until
		news = true
	}
	switch {
	case r.Limit > 0:
		news = news || r.Limit != t.limit
		t.namedAt = now
		t.observe(now, r.Limit)
	case t.limit > 0 && !r.LimitUndecoded && r.Proven && r.SentAt.After(t.namedAt):
		// A response to an earlier request may have been written before the limit was named.
		news = true
		t.observe(now, 0)
	}
	return news
}

// observe sets the limit that a response to this gateway names.
func (t *terms) observe(now time.Time, limit float64) {
	t.own, t.observedAt = true, now
	if limit != t.limit {
		t.setLimit(now, limit)
	}
}

// Statement is what the gateways know of a server from each other.
type Statement struct {
	ID      string
	Started int64
	// Limit is the limit that the server names, or 0 if it no longer names one.
	Limit float64
}

// Learn records what another gateway, or this one, stated. What this gateway observed a moment ago
// may be newer than the end of a limit.
func (b *Board) Learn(now time.Time, s Statement) {
	t := b.termsOf(now, incarnation{s.ID, s.Started})
	t.shared = s.Limit
	if s.Limit == t.limit || (s.Limit == 0 && t.own && now.Sub(t.observedAt) < publishInterval) {
		return
	}
	t.own = false
	t.namedAt = now
	t.setLimit(now, s.Limit)
}

// LearnEnd records that the gateways no longer know of a limit of the server.
func (b *Board) LearnEnd(now time.Time, id string) {
	for key, t := range b.servers {
		if key.id == id && t.shared > 0 {
			b.Learn(now, Statement{ID: key.id, Started: key.started})
		}
	}
}

// Keep keeps only the statements with the ids, which are all that the store has. If the store has
// returned from a copy, the absence of others means nothing, and they are stated again.
func (b *Board) Keep(now time.Time, ids map[string]bool, copied bool) {
	for key, t := range b.servers {
		switch {
		case ids[key.id] || t.shared == 0:
		case copied:
			t.shared, t.own = 0, true
		default:
			b.Learn(now, Statement{ID: key.id, Started: key.started})
		}
	}
}

// Unpublished returns what this gateway should state to the others now.
func (b *Board) Unpublished(now time.Time) []Statement {
	var all []Statement
	for key, t := range b.servers {
		if t.own && t.limit != t.shared && now.Sub(t.publishedAt) >= publishInterval {
			t.publishedAt = now
			all = append(all, Statement{ID: key.id, Started: key.started, Limit: t.limit})
		}
	}
	slices.SortFunc(all, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Started, b.Started))
	})
	return all
}

// Limited reports whether a listed server names a limit or is cold.
func (b *Board) Limited(now time.Time) bool {
	for _, t := range b.servers {
		if !t.quota(now).unlimited() && now.Sub(t.listedAt) < forgetAfter {
			return true
		}
	}
	return false
}

// SetListed records which servers are listed, and forgets those that have not been listed for long. It
// returns those that have become cold.
func (b *Board) SetListed(now time.Time, servers []roster.Server) []roster.Server {
	var becameCold []roster.Server
	b.listedAt = now
	if b.slowStart {
		b.startNew(now, servers)
	}
	for _, s := range servers {
		t, known := b.servers[keyOf(s)]
		if !known && s.WarmUp == 0 {
			continue
		}
		if !known {
			t = b.termsOf(now, keyOf(s))
		}
		t.listedAt = now
		if b.recordWarmUp(now, t, s) {
			becameCold = append(becameCold, s)
		}
		b.updateStart(now, t, s)
	}
	for key, t := range b.servers {
		switch {
		case now.Sub(t.listedAt) < forgetAfter:
		case t.shared > 0 && b.fleet != nil && b.fleet.Share(now, key.id, namedQuota(0)).Rank == 0:
			// One gateway removes the statement from the store.
			t.limit, t.own = 0, true
		default:
			delete(b.servers, key)
		}
	}
	return becameCold
}

// Admits reports whether this gateway may send the server a request now.
func (b *Board) Admits(now time.Time, s roster.Server) bool { return b.Wait(now, s) == 0 }

// Wait returns the time until the server may get a request.
func (b *Board) Wait(now time.Time, s roster.Server) time.Duration {
	t, known := b.servers[keyOf(s)]
	if !known {
		return 0
	}
	if wait := b.announcedWait(now, t, s); wait > 0 {
		return wait
	}
	return t.waitForStart(now)
}

// announcedWait returns the time until the server may get a request by what it, or the list, announces.
func (b *Board) announcedWait(now time.Time, t *terms, s roster.Server) time.Duration {
	q := t.quota(now)
	if !q.unlimited() {
		t.update(now, b.fleet, s.ID, q)
	}
	return max(t.backoffUntil.Sub(now), t.wait(now, q), 0)
}

// Limits reports whether the server names a limit or is cold, and whether the limit that it names was not
// confirmed for a while.
func (b *Board) Limits(now time.Time, s roster.Server) (limited, unconfirmed bool) {
	t, known := b.servers[keyOf(s)]
	if !known || t.quota(now).unlimited() {
		return false, false
	}
	return true, t.limit > 0 && now.Sub(t.namedAt) >= confirmInterval
}

// RecordSent records that a request is sent to the server.
func (b *Board) RecordSent(now time.Time, s roster.Server) {
	t, known := b.servers[keyOf(s)]
	if !known {
		return
	}
	if q := t.quota(now); !q.unlimited() {
		t.update(now, b.fleet, s.ID, q)
		t.level--
	}
}
