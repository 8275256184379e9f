package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/estimate"
)

var prior = estimate.Prior{Idle: 24 * time.Millisecond, TokensPerMs: 37.9, PerRunning: time.Millisecond}

// source is a pool whose observations contain waits that the gateway doesn't know of.
type source struct {
	idleMs, tokensPerMs float64
	rand                *rand.Rand
}

var prompts = []float64{3_720, 2_890, 1_110, 17_020}

func (s *source) load() estimate.Load {
	return estimate.Load{Rounds: 1, Tokens: prompts[s.rand.IntN(len(prompts))], Running: float64(s.rand.IntN(3))}
}

// idle returns the time to the first event at an idle server of the speed.
func (s *source) idle(l estimate.Load, speed float64) time.Duration {
	return time.Duration((s.idleMs + l.Tokens/s.tokensPerMs + l.Running) / speed * float64(time.Millisecond))
}

// observe returns a time to the first event. Three in ten requests wait for others.
func (s *source) observe(l estimate.Load, speed float64) time.Duration {
	took := s.idle(l, speed)
	if s.rand.Float64() < 0.3 {
		took += time.Duration(s.rand.ExpFloat64() * float64(100*time.Millisecond))
	}
	return took
}

func (s *source) teach(p *estimate.Pool, server *estimate.Server, speed float64, n int) {
	for range n {
		l := s.load()
		p.Record(server, l, s.observe(l, speed))
	}
}

// worst returns the largest error of predictions, as a factor.
func (s *source) worst(p *estimate.Pool, server *estimate.Server, speed float64) float64 {
	worst := 1.0
	for _, tokens := range prompts {
		l := estimate.Load{Rounds: 1, Tokens: tokens}
		ratio := p.Latency(server, l).Seconds() / s.idle(l, speed).Seconds()
		worst = max(worst, ratio, 1/ratio)
	}
	return worst
}

func newSource(idleMs, tokensPerMs float64) *source {
	return &source{idleMs: idleMs, tokensPerMs: tokensPerMs, rand: rand.New(rand.NewPCG(1, 2))}
}

// TestPoolEstimates guards against a pool that is predicted by constants of another engine, and
// against a gateway that takes the load of others for slow servers.
func TestPoolEstimates(t *testing.T) {
	for _, s := range []*source{newSource(24, 37.9), newSource(19, 56.1), newSource(22, 36.7), newSource(40, 22.7), newSource(15, 60.6)} {
		p := estimate.New(prior)
		const servers = 8
		all := make([]estimate.Server, servers)
		for n := range 80 {
			s.teach(p, &all[n%servers], 1, 1)
		}
		if worst := s.worst(p, &estimate.Server{}, 1); worst > 1.2 {
			t.Errorf("idle %.0f ms, %.1f tokens per ms: predictions are wrong by a factor of %.2f after 80 observations", s.idleMs, s.tokensPerMs, worst)
		}
	}
}

// TestPrior checks that a pool without observations is predicted by its prior.
func TestPrior(t *testing.T) {
	p := estimate.New(prior)
	got := p.Latency(&estimate.Server{}, estimate.Load{Rounds: 1, Tokens: 3790, Running: 6})
	if want := 130 * time.Millisecond; (got - want).Abs() > time.Microsecond {
		t.Errorf("predicted %s, want %s", got, want)
	}
	if got := p.TokensPerMs(&estimate.Server{}); math.Abs(got-prior.TokensPerMs) > 1e-9 {
		t.Errorf("%.2f tokens per ms, want %.2f", got, prior.TokensPerMs)
	}
}

// TestServerSpeeds guards against slow servers that are predicted like fast ones. Their order must
// be right after few observations, and their speeds relative to each other after more.
func TestServerSpeeds(t *testing.T) {
	s := newSource(22, 36.7)
	p := estimate.New(prior)
	speeds := []float64{0.6, 1, 1.6}
	servers := make([]estimate.Server, len(speeds))
	for n := range 40 {
		for i, speed := range speeds {
			s.teach(p, &servers[i], speed, 1)
		}
		if n == 4 && (servers[0].Speed() >= servers[1].Speed() || servers[1].Speed() >= servers[2].Speed()) {
			t.Errorf("after 5 observations each the speeds are %.2f, %.2f, %.2f", servers[0].Speed(), servers[1].Speed(), servers[2].Speed())
		}
	}
	for i := range 2 {
		got, want := servers[i].Speed()/servers[i+1].Speed(), speeds[i]/speeds[i+1]
		if got < want/1.25 || got > want*1.25 {
			t.Errorf("servers of the speeds %.1f and %.1f have the ratio %.2f, want %.2f", speeds[i], speeds[i+1], got, want)
		}
	}
}

// TestOutliers guards against estimates that one slow response, a timeout or a pause of the process
// moves far: in a pause each server's first event in flight is late by the pause.
func TestOutliers(t *testing.T) {
	for _, late := range []time.Duration{time.Second, 30 * time.Second, time.Hour} {
		s := newSource(24, 37.9)
		p := estimate.New(prior)
		const count = 20
		servers := make([]estimate.Server, count)
		for i := range servers {
			s.teach(p, &servers[i], 1, 6)
		}
		l := estimate.Load{Rounds: 1, Tokens: 3_720}
		before, unknown := p.Latency(&servers[0], l), p.Latency(&estimate.Server{}, l)
		for i := range servers {
			p.Record(&servers[i], l, s.idle(l, 1)+late)
		}
		after := p.Latency(&servers[0], l)
		if ratio := after.Seconds() / before.Seconds(); ratio > 1.25 {
			t.Errorf("one first event of each server was late by %s: predicted %s, and %s before", late, after, before)
		}
		if ratio := p.Latency(&estimate.Server{}, l).Seconds() / unknown.Seconds(); ratio > 1.1 {
			t.Errorf("first events were late by %s: the pool's estimate is %.2f of that before", late, ratio)
		}
	}
}

// TestSpeedChanges checks that a changed speed is learned within the observations of a few seconds.
func TestSpeedChanges(t *testing.T) {
	s := newSource(24, 37.9)
	p := estimate.New(prior)
	var server, other estimate.Server
	change := func(speed float64) {
		for range 10 {
			s.teach(p, &server, speed, 1)
			s.teach(p, &other, 1, 4)
		}
	}
	for _, speed := range []float64{1, 0.6, 1.6, 1} {
		change(speed)
		if worst := s.worst(p, &server, speed); worst > 1.35 {
			t.Errorf("speed %.1f: predictions are wrong by a factor of %.2f after 10 observations", speed, worst)
		}
	}
}

func BenchmarkRecord(b *testing.B) {
	s := newSource(24, 37.9)
	p := estimate.New(prior)
	var server estimate.Server
	for b.Loop() {
		l := s.load()
		p.Record(&server, l, s.observe(l, 1))
	}
}
