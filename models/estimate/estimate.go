// Package estimate learns how long the servers of a pool take to the first event of a
// response. A pool has an idle latency, a prompt speed and a delay per running request,
// fitted to observations of all of its servers. A server has a speed relative to its
// pool. It is designed for servers of unequal speed that several gateways share, so that
// observations contain waits for requests that this gateway doesn't know of.
package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	// lateWeight and maxLateRatio limit the effect of observations that are later than the
	// pool's estimate, as work of other gateways makes them late by any amount and never
	// early. So the estimate follows idle servers, and the load of other gateways does not
	// make prompts look more expensive to process again.
	lateWeight   = 0.05
	maxLateRatio = 1.3
	// maxRatio bounds the ratio of an observation at a server to the pool's estimate, above
	// and as 1/maxRatio below. A slow server that other gateways prefer too takes several
	// times as long as an idle one of the usual speed.
	maxRatio = 8.0
	// poolMemory is the number of observations over which the pool's estimates are
	// averaged: some seconds of a small gateway's requests.
	poolMemory = 64.0
	// minScale and maxScale bound an estimate relative to its prior.
	minScale = 1.0 / 4
	maxScale = 4.0
	// serverMemory is the number of observations whose median ratio is a server's slowness.
	// The median is not moved by late observations as long as they are fewer than half, and
	// includes the load that the server usually has from other gateways.
	serverMemory = 12
	// shrinkage is the number of observations that the pool's estimate counts as in a
	// server's slowness.
	shrinkage = 1.5
)

// The indices of what the pool's latency consists of.
const (
	idlePart = iota
	tokensPart
	runningPart
	parts
)

// priorWeight is the number of observations, each consisting of one part only, that the
// prior of each part counts as. Own running requests are a small share of a server's, so
// that their delay is learned slowly.
var priorWeight = [parts]float64{idlePart: 0.2, tokensPart: 0.4, runningPart: 1}

// Prior holds the estimates for a pool without observations.
type Prior struct {
	// Idle is the time to the first event on an idle server, without its prompt.
	Idle time.Duration
	// TokensPerMs is the number of prompt tokens processed per millisecond, or 0 if
	// there are no prompts.
	TokensPerMs float64
	// PerRunning is the delay that each running request adds.
	PerRunning time.Duration
}

// Load is what a server does before the first event of a request.
type Load struct {
	// Rounds is how often the idle latency passes: 1, or more if requests wait for slots.
	Rounds float64
	// Tokens is the number of prompt tokens to process.
	Tokens float64
	// Running is the number of running requests.
	Running float64
}

// Pool holds the estimates for a pool. It is not safe for concurrent use.
type Pool struct {
	// prior holds the time in ms of a unit of each part, and scale the estimates relative
	// to it.
	prior, scale [parts]float64
	// products and targets are the normal equations of the fit of scale.
	products [parts][parts]float64
	targets  [parts]float64
}

// New returns the estimates for a pool without observations.
func New(prior Prior) *Pool {
	p := &Pool{scale: [parts]float64{1, 1, 1}}
	p.prior[idlePart] = milliseconds(prior.Idle)
	if prior.TokensPerMs > 0 {
		p.prior[tokensPart] = 1 / prior.TokensPerMs
	}
	p.prior[runningPart] = milliseconds(prior.PerRunning)
	return p
}

// Server holds what is known of a server relative to its pool. The zero value is a server
// without observations.
type Server struct {
	// ratios are the logarithms of the last observations relative to the pool's estimate,
	// and next is the index of the one that is replaced next.
	ratios []float64
	next   int
	// observations is the number of observations since the start.
	observations int
	// slowness is the time that the server takes relative to the pool's estimate, or 0 if
	// unknown.
	slowness float64
}

// Speed returns the speed of the server relative to its pool.
func (s *Server) Speed() float64 {
	if s.slowness == 0 {
		return 1
	}
	return 1 / s.slowness
}

// Latency returns the expected time to the first event at the server.
func (p *Pool) Latency(s *Server, l Load) time.Duration {
	return duration(p.latency(l) / s.Speed())
}

// TokensPerMs returns the number of prompt tokens that the server processes per millisecond.
func (p *Pool) TokensPerMs(s *Server) float64 {
	return s.Speed() / (p.prior[tokensPart] * p.scale[tokensPart])
}

// latency returns the pool's expected time to the first event in ms.
func (p *Pool) latency(l Load) float64 {
	sum := 0.0
	for i, units := range l.units() {
		sum += units * p.prior[i] * p.scale[i]
	}
	return sum
}

func (l Load) units() [parts]float64 {
	return [parts]float64{idlePart: l.Rounds, tokensPart: l.Tokens, runningPart: l.Running}
}

// Record records the time to a first event at the server.
func (p *Pool) Record(s *Server, l Load, observed time.Duration) {
	expected := p.latency(l)
	if expected <= 0 {
		return
	}
	ratio := min(max(milliseconds(observed)/expected, 1/maxRatio), maxRatio)
	p.fit(l, expected, min(ratio, maxLateRatio))
	s.record(math.Log(ratio))
}

// fit adds an observation to the fit of the pool's estimates: least squares of the
// relative errors, in which late observations weigh less.
func (p *Pool) fit(l Load, expected, ratio float64) {
	weight := 1.0
	if ratio > 1 {
		weight = lateWeight
	}
	var row [parts]float64
	for i, units := range l.units() {
		row[i] = units * p.prior[i] / expected
	}
	const keep = 1 - 1/poolMemory
	for i := range parts {
		for k := range parts {
			p.products[i][k] = p.products[i][k]*keep + weight*row[i]*row[k]
		}
		p.targets[i] = p.targets[i]*keep + weight*row[i]*ratio
	}
	p.solve()
}

// solve updates scale from the normal equations and the prior, one coordinate at a time.
// The last solution is close to the next one, so that two passes suffice.
func (p *Pool) solve() {
	for range 2 {
		for i := range parts {
			sum := p.targets[i] + priorWeight[i]
			for k := range parts {
				if k != i {
					sum -= p.products[i][k] * p.scale[k]
				}
			}
			p.scale[i] = min(max(sum/(p.products[i][i]+priorWeight[i]), minScale), maxScale)
		}
	}
}

// record adds the logarithm of an observation relative to the pool's estimate.
func (s *Server) record(ratio float64) {
	if len(s.ratios) < serverMemory {
		s.ratios = append(s.ratios, ratio)
	} else {
		s.ratios[s.next] = ratio
		s.next = (s.next + 1) % serverMemory
	}
	s.observations++
	// The zero before the observations is one that agrees with the pool, so that the first
	// observation alone can't make a server slow.
	var sorted [1 + serverMemory]float64
	n := copy(sorted[1:], s.ratios)
	slices.Sort(sorted[:n+1])
	median := sorted[n/2]
	count := float64(s.observations)
	s.slowness = math.Exp(median * count / (count + shrinkage))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
