package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/notice"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/roster"
)

func recordBackoff(board *notice.Board, now time.Time, s roster.Server, d time.Duration) {
	board.Record(now, s, notice.Response{Notice: call.Notice{Backoff: d}, Proven: true})
}

// TestBackoff checks when a server in backoff gets requests again.
func TestBackoff(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	first := roster.Server{ID: "a", Started: 1}
	tests := []struct {
		name   string
		events func(b *balance.Balancer, board *notice.Board)
		after  time.Duration
		want   bool
	}{
		{"none", func(*balance.Balancer, *notice.Board) {}, 0, true},
		{"within", func(_ *balance.Balancer, board *notice.Board) { recordBackoff(board, now, first, 3*time.Second) }, 2999 * time.Millisecond, false},
		{"after", func(_ *balance.Balancer, board *notice.Board) { recordBackoff(board, now, first, 3*time.Second) }, 3 * time.Second, true},
		{"longer later", func(_ *balance.Balancer, board *notice.Board) {
			recordBackoff(board, now, first, time.Second)
			recordBackoff(board, now.Add(500*time.Millisecond), first, 3*time.Second)
		}, 3400 * time.Millisecond, false},
		{"shorter later", func(_ *balance.Balancer, board *notice.Board) {
			recordBackoff(board, now, first, 3*time.Second)
			recordBackoff(board, now.Add(500*time.Millisecond), first, 100*time.Millisecond)
		}, 2900 * time.Millisecond, false},
		{"new incarnation", func(b *balance.Balancer, board *notice.Board) {
			recordBackoff(board, now, first, time.Minute)
			b.SetServers([]roster.Server{{ID: "a", Started: 2}}, 0)
		}, 0, true},
		{"word of the incarnation before", func(b *balance.Balancer, board *notice.Board) {
			b.SetServers([]roster.Server{{ID: "a", Started: 2}}, 0)
			recordBackoff(board, now, first, time.Minute)
		}, 0, true},
		{"another server", func(_ *balance.Balancer, board *notice.Board) {
			recordBackoff(board, now, roster.Server{ID: "c"}, time.Minute)
		}, 0, true},
		{"listed again", func(b *balance.Balancer, board *notice.Board) {
			recordBackoff(board, now, first, 3*time.Second)
			b.SetServers([]roster.Server{first}, 0)
		}, time.Second, false},
		{"suspended too", func(b *balance.Balancer, board *notice.Board) {
			recordBackoff(board, now, first, 3*time.Second)
			b.RecordUnreachable(now, "a")
		}, 2 * time.Second, false},
	}
	for _, tt := range tests {
		board := notice.NewBoard(nil)
		b := balance.New(balance.WithBoard(board))
		b.SetServers([]roster.Server{first}, 0)
		tt.events(b, board)
		at := now.Add(tt.after)
		for _, idempotent := range []bool{false, true} {
			if _, got := b.Choose(at, balance.Request{ID: "r", Idempotent: idempotent}); got != tt.want {
				t.Errorf("%s: chosen after %s: %t", tt.name, tt.after, got)
			}
		}
		if got := b.AcceptsIn(at) == 0; got != tt.want {
			t.Errorf("%s: backingOff for %s after %s", tt.name, b.AcceptsIn(at), tt.after)
		}
	}
}

// backoffFleet is a fleet of gateways before the servers of a pool, in virtual time.
type backoffFleet struct {
	gateways []*balance.Balancer
	boards   []*notice.Board
	rand     *rand.Rand
	// until is until when each server is in backoff.
	until map[string]time.Time
	// told is when a gateway was told so by a server, and received what reached the server from
	// it later than half a second after that, within the backoff.
	told     map[string]time.Time
	received map[string]int
	rejected int
}

const backoffBound = 500 * time.Millisecond

// send sends a request to up to two servers, and returns for how long it is refused, or 0.
func (f *backoffFleet) send(now time.Time, gateway, number int, backoff time.Duration) time.Duration {
	b := f.gateways[gateway]
	r := balance.Request{ID: fmt.Sprintf("%d-%d", gateway, number)}
	for range 2 {
		choice, ok := b.Choose(now, r)
		if !ok {
			return refusal.Spread(b.AcceptsIn(now), f.rand.Float64())
		}
		b.RecordSent(now, choice.Server.ID, r, choice)
		b.RecordEnd(choice.Server.ID, r)
		key := fmt.Sprintf("%d %s", gateway, choice.Server.ID)
		until := f.until[choice.Server.ID]
		if told, known := f.told[key]; known && now.Sub(told) > backoffBound && now.Before(until) {
			f.received[key]++
		}
		if !now.Before(until) {
			return 0
		}
		f.rejected++
		f.told[key] = now
		recordBackoff(f.boards[gateway], now, choice.Server, min(backoff, until.Sub(now)))
		r.Exclude = append(r.Exclude, choice.Server.ID)
	}
	return 0
}

// TestBackoffInFleets checks fleets in which a third, or all, of the servers want no requests for
// 3 s. Each gateway learns that from its own responses only: it costs at most one request for each
// gateway and server. Callers that are refused come back spread out.
func TestBackoffInFleets(t *testing.T) {
	const backoff = 3 * time.Second
	for _, servers := range []int{1, 18, 600} {
		for _, gateways := range []int{4, 103} {
			for _, all := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d servers, %d gateways, all %t", servers, gateways, all), func(t *testing.T) {
					f := newBackoffFleet(servers, gateways)
					start := time.Unix(1_700_000_000, 0)
					backingOff := (servers + 2) / 3
					if all {
						backingOff = servers
					}
					for i := range backingOff {
						f.until[serverID(i)] = start.Add(backoff)
					}
					returns := f.run(start, backoff)
					if f.rejected > backingOff*gateways {
						t.Errorf("%d requests rejected by %d servers at %d gateways", f.rejected, backingOff, gateways)
					}
					for key, n := range f.received {
						t.Errorf("%s got %d requests in its backoff", key, n)
					}
					checkSpread(t, returns)
				})
			}
		}
	}
}

func serverID(i int) string { return fmt.Sprintf("i-%03d", i) }

func newBackoffFleet(servers, gateways int) *backoffFleet {
	f := &backoffFleet{rand: rand.New(rand.NewPCG(1, 2)), until: map[string]time.Time{}, told: map[string]time.Time{}, received: map[string]int{}}
	list := make([]roster.Server, servers)
	for i := range list {
		list[i] = roster.Server{ID: serverID(i), Slots: 8}
	}
	for i := range gateways {
		board := notice.NewBoard(nil)
		b := balance.New(balance.WithBoard(board), balance.WithRand(rand.New(rand.NewPCG(uint64(i), 3))))
		b.SetServers(list, 0)
		f.gateways, f.boards = append(f.gateways, b), append(f.boards, board)
	}
	return f
}

// run sends 20 requests a second to each gateway until the backoff is over, and returns when
// refused callers come back, from the end of the backoff on.
func (f *backoffFleet) run(start time.Time, backoff time.Duration) []time.Duration {
	var returns []time.Duration
	for n := range int(backoff.Seconds() * 20) {
		now := start.Add(time.Duration(n) * 50 * time.Millisecond)
		for g := range f.gateways {
			if wait := f.send(now, g, n, backoff); wait > 0 {
				returns = append(returns, now.Add(wait).Sub(start.Add(backoff)))
			}
		}
	}
	return returns
}

// checkSpread checks that no caller comes back too early, and no more than a quarter of all within
// any tenth of a second.
func checkSpread(t *testing.T, returns []time.Duration) {
	t.Helper()
	const window = 100 * time.Millisecond
	inWindow := map[time.Duration]int{}
	for _, r := range returns {
		if r < 0 {
			t.Errorf("a caller comes back %s before a server takes requests", -r)
		}
		inWindow[r/window]++
	}
	for w, n := range inWindow {
		if len(returns) >= 40 && n > len(returns)/4 {
			t.Errorf("%d of %d callers come back within %s after %s", n, len(returns), window, w*window)
		}
	}
}
