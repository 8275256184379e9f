package notice_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/notice"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/route"
)

const (
	coldTime    = 3 * time.Second
	coldRunTime = 42 * time.Second
	// peerDelay is how long a gateway without the store takes to read an entry through a peer.
	peerDelay = 1300 * time.Millisecond
)

// coldServer is a server that becomes cold at times.
type coldServer struct {
	entry     roster.Server
	writtenAt time.Duration
	coldUntil time.Duration
	// coldSince is the sequence of the entry with which the server became cold.
	coldSince int64
	// recent are the last requests while the server was cold, with all gateways that sent one knowing it.
	recent []time.Duration
	// sent is the number of requests while it was cold, and cold that time.
	sent int
	cold time.Duration
}

// write writes the entry of a server that is cold for the time.
func (s *coldServer) write(now, left time.Duration) {
	s.entry.Sequence++
	if now >= s.coldUntil {
		s.coldSince = s.entry.Sequence
	}
	s.entry.WarmUp, s.writtenAt, s.coldUntil = left, now, now+left
}

// coldFleet simulates gateways that send all that they may to servers that become cold.
type coldFleet struct {
	*simFleet
	servers []*coldServer
	// seen are the sequences of the entries that each process of a gateway has read.
	seen  map[*notice.Board][]int64
	pools map[string]route.Pool
	bound float64
	worst int
	// idle is for how much of each 1.3 s nobody has requests, so that gateways save some up.
	idle time.Duration
}

// change has a server become cold every 4.1 s, one start again every 9 s, and one stay cold for 14 s, which it
// writes every 2 s. All others become cold together.
func (f *coldFleet) change() {
	for i, s := range f.servers {
		switch {
		case i == 1 && f.every(9*time.Second):
			s.entry.Started++
			s.write(f.now, coldTime)
		case i == 2 && f.every(2*time.Second) && f.now%(18*time.Second) >= 4*time.Second:
			s.write(f.now, 18*time.Second-f.now%(18*time.Second))
		case i != 1 && i != 2 && f.every(4100*time.Millisecond):
			s.write(f.now, coldTime)
		}
	}
}

// read reads the entries that have reached the gateway.
func (f *coldFleet) read(g *simGateway) {
	delay := shareDelay
	if g.cut {
		delay = peerDelay
	}
	seen, known := f.seen[g.board]
	if !known {
		seen = make([]int64, len(f.servers))
		g.board.SetPools(f.pools)
		f.seen[g.board] = seen
	}
	var listed []roster.Server
	for i, s := range f.servers {
		if !known || f.now-s.writtenAt >= delay {
			seen[i] = s.entry.Sequence
		}
		if seen[i] == s.entry.Sequence && (f.every(shareInterval) || f.now-s.writtenAt < peerDelay+tick) {
			listed = append(listed, s.entry)
		}
	}
	g.board.SetListed(f.time(), listed)
}

// sendAll sends all that the gateway may send to cold servers, and a request to each other one.
func (f *coldFleet) sendAll(g *simGateway) {
	for i, s := range f.servers {
		for g.board.Admits(f.time(), s.entry) {
			g.board.RecordSent(f.time(), s.entry)
			if f.now >= s.coldUntil {
				break
			}
			if f.seen[g.board][i] < s.coldSince {
				// The bound holds once all gateways that send know that the server is cold.
				s.recent = nil
				break
			}
			s.record(f.now)
			f.worst = max(f.worst, len(s.recent))
		}
	}
}

func (s *coldServer) record(now time.Duration) {
	s.sent++
	s.recent = append(s.recent, now)
	for now-s.recent[0] > time.Second {
		s.recent = s.recent[1:]
	}
}

func (f *coldFleet) step() {
	f.runDelayed()
	f.change()
	for _, s := range f.servers {
		if f.now < s.coldUntil {
			s.cold += tick
		}
	}
	for _, g := range f.gateways {
		// A process that did not run reads the list before it sends.
		if g.gone || f.now < g.downUntil+shareDelay || f.now < g.stoppedUntil+shareDelay {
			continue
		}
		if f.every(shareInterval) {
			f.share(g)
		}
		f.read(g)
		if f.now%(1300*time.Millisecond) >= f.idle {
			f.sendAll(g)
		}
	}
}

func newColdFleet(gateways, servers int, limit, over, slack float64) *coldFleet {
	f := &coldFleet{
		simFleet: &simFleet{rand: rand.New(rand.NewPCG(uint64(gateways), uint64(limit*10)))},
		seen:     map[*notice.Board][]int64{}, pools: map[string]route.Pool{"p": {Name: "p", ColdLimit: limit}}, bound: over*limit + slack,
	}
	f.options = []notice.Option{notice.WithColdTolerance(over, slack)}
	for i := range servers {
		f.servers = append(f.servers, &coldServer{entry: roster.Server{ID: fmt.Sprintf("c%d", i), Pool: "p", Started: 7, Sequence: 1}})
	}
	for range gateways {
		f.add()
	}
	return f
}

// TestColdServersInFleets guards against a cold server that gets more than it takes within any second from
// fleets of each size, whichever gateways live and reach the store, and against one that gets next to nothing.
func TestColdServersInFleets(t *testing.T) {
	limits := []struct{ limit, over, slack float64 }{{5.2, 1.5, 5}, {5.2, 1.2, 3}, {1, 1.5, 5}, {60, 1.5, 5}, {20, 2, 0}}
	for _, p := range append(patterns(), coldPatterns()...) {
		for _, gateways := range []int{1, 4, 29, 103} {
			for i, l := range limits {
				if gateways > 29 && i > 0 {
					continue
				}
				t.Run(fmt.Sprintf("%s, %d gateways, limit %g, %g, %g", p.name, gateways, l.limit, l.over, l.slack), func(t *testing.T) {
					t.Parallel()
					f := newColdFleet(gateways, 3, l.limit, l.over, l.slack)
					f.run(p)
					f.check(t, p.minUsed*l.limit)
				})
			}
		}
	}
}

// TestColdServersInSmallFleets guards against requests of gateways that have replaced each other, in random sequences of
// faults that use up what the bound leaves: one gateway shares the limit at a time, and the cold times are long.
func TestColdServersInSmallFleets(t *testing.T) {
	for seed := range uint64(40) {
		for _, gateways := range []int{2, 5} {
			f := newColdFleet(gateways, 3, 4, 1.5, 2)
			f.rand, f.idle = rand.New(rand.NewPCG(seed, uint64(gateways))), 600*time.Millisecond
			f.run(pattern{change: randomFaults})
			if float64(f.worst) > f.bound {
				t.Errorf("seed %d, %d gateways: %d requests within a second, %g are allowed", seed, gateways, f.worst, f.bound)
			}
		}
	}
}

// randomFaults has a gateway change every 0.7 s. Gateways are replaced only while all others are connected: those that
// are cut off don't know the new ones.
func randomFaults(f *simFleet) {
	if !f.every(700 * time.Millisecond) {
		return
	}
	g := f.gateways[f.rand.IntN(len(f.gateways))]
	switch f.rand.IntN(4) {
	case 0, 1:
		f.setCut(g, !g.cut)
	case 2:
		f.restart(g, time.Second)
	default:
		if !slices.ContainsFunc(f.gateways, func(g *simGateway) bool { return g.cut }) {
			f.replace(1)
		}
	}
}

// TestManyColdServers guards against servers that become cold together and share what one of them takes.
func TestManyColdServers(t *testing.T) {
	for _, gateways := range []int{4, 29} {
		f := newColdFleet(gateways, 53, 5.2, 1.5, 5)
		f.run(patterns()[0])
		f.check(t, minUsed*5.2)
	}
}

func (f *coldFleet) run(p pattern) {
	for ; f.now < coldRunTime; f.now += tick {
		p.change(f.simFleet)
		f.step()
	}
}

func (f *coldFleet) check(t *testing.T, minRate float64) {
	t.Helper()
	if float64(f.worst) > f.bound {
		t.Errorf("%d requests within a second, %g are allowed", f.worst, f.bound)
	}
	for _, s := range f.servers {
		// At smaller limits a gateway that is replaced often doesn't come to send its first request.
		if rate := float64(s.sent) / s.cold.Seconds(); rate < minRate && minRate > minUsedCut*5 {
			t.Errorf("server %s got %.2f requests per second while it was cold, want %.2f", s.entry.ID, rate, minRate)
		}
	}
}

// replace has new gateways take the place of the first ones, which are gone for good.
func (f *simFleet) replace(n int) {
	for _, g := range f.gateways[:n] {
		g.gone = true
		f.add()
	}
	f.gateways = f.gateways[n:]
}

// coldPatterns are patterns of which each second counts.
func coldPatterns() []pattern {
	return []pattern{
		{"replaced one after the other", minUsedCut, func(f *simFleet) {
			if f.every(5*time.Second) && len(f.gateways) > 1 {
				f.replace(1)
			}
		}},
		// Those that are cut off use what they have by the old list all the while.
		{"half is cut off, the others are replaced", 0, func(f *simFleet) {
			if f.now == 3*time.Second {
				for i, g := range f.gateways {
					f.setCut(g, i%2 == 1)
				}
			}
			if f.every(2500 * time.Millisecond) {
				for _, g := range slices.Clone(f.gateways) {
					if !g.cut && !g.gone && f.now > 3*time.Second {
						g.gone = true
						f.add()
					}
				}
			}
		}},
		// New processes wait for 1.5 s, so that little remains of 3 s.
		{"all replaced together", 0, func(f *simFleet) {
			if f.every(8 * time.Second) {
				f.replace(len(f.gateways))
			}
		}},
		{"cut off for changing times", minUsedCut, func(f *simFleet) {
			if f.every(500 * time.Millisecond) {
				g := f.gateways[f.rand.IntN(len(f.gateways))]
				f.setCut(g, !g.cut)
			}
		}},
		{"writes fail", minUsedCut, func(f *simFleet) {
			if f.every(7 * time.Second) {
				f.writesFail = !f.writesFail
			}
		}},
	}
}

// TestWarmUp guards against warm-ups that end early, or begin again with each snapshot of the list.
func TestWarmUp(t *testing.T) {
	entry := func(sequence int64, left time.Duration) roster.Server {
		return roster.Server{ID: "s", Pool: "p", Started: 7, Sequence: sequence, WarmUp: left}
	}
	type reading struct {
		at    time.Duration
		entry roster.Server
	}
	cold := reading{0, entry(4, coldTime)}
	tests := []struct {
		name     string
		readings []reading
		at       time.Duration
		want     bool
	}{
		{"cold", []reading{cold}, 2900 * time.Millisecond, true},
		{"warm", []reading{cold}, coldTime, false},
		{"read again", []reading{cold, {2 * time.Second, entry(4, coldTime)}}, coldTime, false},
		{"later entry", []reading{cold, {2 * time.Second, entry(5, 2*time.Second)}}, 3900 * time.Millisecond, true},
		{"later entry of a warm server", []reading{cold, {time.Second, entry(5, 0)}}, time.Second, false},
		{"older entry of a warm server", []reading{cold, {time.Second, entry(3, 0)}}, 2 * time.Second, true},
		{"cold again", []reading{cold, {5 * time.Second, entry(5, coldTime)}}, 7 * time.Second, true},
		{"no limit for cold servers", []reading{{0, roster.Server{ID: "s", Pool: "q", Started: 7, WarmUp: coldTime}}}, time.Second, false},
	}
	for _, tt := range tests {
		b := notice.NewBoard(notice.NewFleet("g"))
		b.SetPools(map[string]route.Pool{"p": {ColdLimit: 5.2}, "q": {}})
		for _, r := range tt.readings {
			b.SetListed(epoch.Add(r.at), []roster.Server{r.entry})
		}
		now := epoch.Add(tt.at)
		if limited, unconfirmed := b.Limits(now, server); limited != tt.want || unconfirmed || b.Limited(now) != tt.want {
			t.Errorf("%s: limited is %t, a heartbeat is due: %t", tt.name, limited, b.Limited(now))
		}
		if got := b.Unpublished(now); len(got) > 0 {
			t.Errorf("%s: stated %+v", tt.name, got)
		}
	}
}

// TestColdAgain guards against requests that were saved up since the server was cold before.
func TestColdAgain(t *testing.T) {
	b := notice.NewBoard(nil)
	b.SetPools(map[string]route.Pool{"p": {ColdLimit: 5.2}})
	for sequence, at := range []time.Duration{0, 10 * time.Second} {
		now := epoch.Add(at)
		s := roster.Server{ID: "s", Pool: "p", Started: 7, Sequence: int64(sequence), WarmUp: coldTime}
		b.SetListed(now, []roster.Server{s})
		if wait := b.Wait(now, s); wait < 190*time.Millisecond || wait > 193*time.Millisecond {
			t.Errorf("after %s: the first request is due in %s, want 1 s / 5.2", at, wait)
		}
		b.RecordSent(now, s)
	}
}

// TestGainedShare guards against gateways that use a share of a cold server while another one, which had it before,
// may not know of them yet.
func TestGainedShare(t *testing.T) {
	s := roster.Server{ID: "s", Pool: "p", Started: 7, WarmUp: time.Minute}
	members := []string{"g"}
	for i := range 20 {
		members = append(members, fmt.Sprintf("g%d", i))
	}
	const first, half = 192 * time.Millisecond, 384 * time.Millisecond
	tests := []struct {
		name   string
		events func(f *notice.Fleet, b *notice.Board)
		min    time.Duration
	}{
		{"known for long", func(f *notice.Fleet, b *notice.Board) {
			f.SetMembers(epoch.Add(-time.Minute), []string{"g"})
			b.SetListed(epoch.Add(4*time.Second), []roster.Server{s})
		}, half},
		{"just started", func(f *notice.Fleet, b *notice.Board) {
			f.SetMembers(epoch.Add(4*time.Second), []string{"g"})
			b.SetListed(epoch.Add(4*time.Second), []roster.Server{s})
		}, 1500*time.Millisecond + half},
		{"the others ended", func(f *notice.Fleet, b *notice.Board) {
			f.SetMembers(epoch.Add(-time.Minute), members)
			b.SetListed(epoch, []roster.Server{s})
			f.SetMembers(epoch.Add(4*time.Second), []string{"g"})
		}, 1500*time.Millisecond + half},
		{"gateways not known", func(_ *notice.Fleet, b *notice.Board) { b.SetListed(epoch, []roster.Server{s}) }, first},
		{"heartbeat just accepted", func(f *notice.Fleet, b *notice.Board) {
			f.SetMembers(epoch.Add(-time.Minute), []string{"g"})
			f.RecordRead(epoch.Add(4 * time.Second))
			f.Watch(epoch.Add(3500 * time.Millisecond))
			f.Confirm(epoch.Add(3600*time.Millisecond), epoch.Add(3600*time.Millisecond))
			b.SetListed(epoch.Add(4*time.Second), []roster.Server{s})
		}, half},
		{"heartbeats accepted", func(f *notice.Fleet, b *notice.Board) {
			f.SetMembers(epoch.Add(-time.Minute), []string{"g"})
			f.RecordRead(epoch.Add(4 * time.Second))
			f.Watch(epoch.Add(2 * time.Second))
			f.Confirm(epoch.Add(2*time.Second), epoch.Add(2*time.Second))
			b.SetListed(epoch.Add(4*time.Second), []roster.Server{s})
		}, first},
		{"heartbeats accepted after a gap", func(f *notice.Fleet, b *notice.Board) {
			f.SetMembers(epoch.Add(-time.Minute), []string{"g"})
			f.RecordRead(epoch.Add(4 * time.Second))
			f.Watch(epoch.Add(-20 * time.Second))
			f.Confirm(epoch.Add(-19*time.Second), epoch.Add(-19*time.Second))
			f.Confirm(epoch.Add(2500*time.Millisecond), epoch.Add(2500*time.Millisecond))
			b.SetListed(epoch.Add(4*time.Second), []roster.Server{s})
		}, half},
		{"heartbeats accepted, nothing read", func(f *notice.Fleet, b *notice.Board) {
			f.SetMembers(epoch.Add(-time.Minute), []string{"g"})
			f.RecordRead(epoch.Add(2 * time.Second))
			f.Watch(epoch.Add(2 * time.Second))
			f.Confirm(epoch.Add(2*time.Second), epoch.Add(2*time.Second))
			b.SetListed(epoch.Add(4*time.Second), []roster.Server{s})
		}, half},
	}
	for _, tt := range tests {
		f := notice.NewFleet("g")
		b := notice.NewBoard(f)
		b.SetPools(map[string]route.Pool{"p": {ColdLimit: 5.2}})
		tt.events(f, b)
		if wait := b.Wait(epoch.Add(4*time.Second), s); wait < tt.min || wait > tt.min+time.Millisecond {
			t.Errorf("%s: the first request is due in %s, want %s", tt.name, wait, tt.min)
		}
	}
}

// TestColdServerNamesLimit guards against requests that a cold server gets in addition as it names another limit
// with each response.
func TestColdServerNamesLimit(t *testing.T) {
	b := notice.NewBoard(nil)
	b.SetPools(map[string]route.Pool{"p": {ColdLimit: 2}})
	s := roster.Server{ID: "s", Pool: "p", Started: 7, WarmUp: time.Minute}
	b.SetListed(epoch, []roster.Server{s})
	sent := 0
	for at := time.Duration(0); at < 10*time.Second; at += tick {
		now := epoch.Add(at)
		for b.Admits(now, s) {
			b.RecordSent(now, s)
			sent++
		}
		limit := float64(at / tick % 2 * 50)
		b.Record(now, s, notice.Response{Notice: call.Notice{Limit: limit}, SentAt: now, Proven: true})
	}
	if sent < 15 || sent > 20 {
		t.Errorf("%d requests in 10 s, the limit is 2 per second", sent)
	}
}

// TestStartWithoutColdLimit guards against servers that come back slowly though their pool names no limit for cold ones.
func TestStartWithoutColdLimit(t *testing.T) {
	for limit, want := range map[float64]int{0: 0, 5.2: 1} {
		b := notice.NewBoard(nil, notice.WithSlowStart())
		b.SetPools(map[string]route.Pool{"p": {Name: "p", ColdLimit: limit}})
		b.SetListed(epoch, []roster.Server{{ID: "a", Pool: "p"}})
		b.SetListed(epoch, []roster.Server{{ID: "a", Pool: "p"}, {ID: "b", Pool: "p", Started: 1}})
		if got := b.Starting(epoch); got != want {
			t.Errorf("limit %g: %d servers start slowly, want %d", limit, got, want)
		}
	}
}
