package notice

import (
	"math"
	"time"

	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/slowstart"
)

// startMemory is how long the start of a server that is not listed is remembered. A server that returns
// with the same start has not started meanwhile: it, or the store, was unreachable.
const startMemory = time.Hour

// WithSlowStart limits the requests of this gateway in flight at servers that have started or recovered
// while it runs, or are cold or just warm.
func WithSlowStart() Option { return func(b *Board) { b.slowStart = true } }

// start is the start of a server that was listed last.
type start struct {
	started  int64
	listedAt time.Time
}

// EndedStart is a slow start that has ended.
type EndedStart struct {
	Server roster.Server
	slowstart.Stats
}

// StartSlowly begins a slow start of the server, unless it has one, or its pool is published without a limit for
// cold servers: such servers take all at once, and a pool that lacks a third of its servers needs them back at once.
func (b *Board) StartSlowly(s roster.Server) {
	if pool, published := b.pools[s.Pool]; !b.slowStart || (published && pool.ColdLimit == 0) {
		return
	}
	if t := b.termsOf(b.listedAt, keyOf(s)); t.start == nil {
		t.start = slowstart.New(b.phase(s.ID))
	}
}

// phase returns the place of this gateway in the order in which the gateways send a server that starts
// requests, from 0 to 1.
func (b *Board) phase(server string) float64 {
	if b.fleet == nil {
		return 0
	}
	return float64(score(server, b.fleet.self)) / math.MaxUint64
}

// Start returns the window of the server's slow start, or nil if it has none.
func (b *Board) Start(s roster.Server) *slowstart.Window {
	if t, known := b.servers[keyOf(s)]; known {
		return t.start
	}
	return nil
}

// HeldByStart reports whether only its slow start keeps requests from the server.
func (b *Board) HeldByStart(now time.Time, s roster.Server) bool {
	t, known := b.servers[keyOf(s)]
	return known && t.slow(now) && !t.start.Admits(now) && b.announcedWait(now, t, s) == 0
}

// Starting returns the number of servers with a slow start.
func (b *Board) Starting(now time.Time) int {
	n := 0
	for _, t := range b.servers {
		if t.start != nil && now.Sub(t.listedAt) < forgetAfter {
			n++
		}
	}
	return n
}

// TakeEndedStarts returns the slow starts that have ended since the last call.
func (b *Board) TakeEndedStarts() []EndedStart {
	ended := b.endedStarts
	b.endedStarts = nil
	return ended
}

// startNew begins slow starts of the servers that have started since they were last listed. Those of the
// first list were there before this gateway.
func (b *Board) startNew(now time.Time, servers []roster.Server) {
	first := len(b.starts) == 0
	for _, s := range servers {
		before, known := b.starts[s.ID]
		if !first && (!known || s.Started > before.started) {
			b.StartSlowly(s)
		}
		b.starts[s.ID] = start{started: max(s.Started, before.started), listedAt: now}
	}
	for id, s := range b.starts {
		if now.Sub(s.listedAt) >= startMemory {
			delete(b.starts, id)
		}
	}
}

// updateStart begins a slow start of a server that is cold, again when it has become warm, and ends it
// otherwise.
func (b *Board) updateStart(now time.Time, t *terms, s roster.Server) {
	cold := t.isCold(now)
	if cold != t.wasCold {
		t.wasCold, t.start = cold, nil
		b.StartSlowly(s)
	}
	if !cold && t.start != nil && t.start.Ended(now) {
		b.endedStarts = append(b.endedStarts, EndedStart{Server: s, Stats: t.start.Stats(now)})
		t.start = nil
	}
}

// slow reports whether the server has a slow start, which lasts at least as long as it is cold.
func (t *terms) slow(now time.Time) bool {
	return t.start != nil && (t.isCold(now) || !t.start.Ended(now))
}

// waitForStart returns the time until the server's slow start may admit a request.
func (t *terms) waitForStart(now time.Time) time.Duration {
	if !t.slow(now) || t.start.Admits(now) {
		return 0
	}
	return slowstart.RetryAfter
}
