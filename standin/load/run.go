package load

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusline/crocusline/models/placement"
)

const (
	// region is the region of all entries and servers.
	region = "region"
	// bytesPerToken is the assumed length of a token in a prompt.
	bytesPerToken = 4
	// settleTime is the time after the last arrival in which open requests may finish.
	settleTime = 20 * time.Minute
)

// run is one run of a workload.
type run struct {
	clock
	workload    *Workload
	servers     map[string]*server
	serverNames []string
	entries     []*entry
	result      *Result
	submissions int
	arrivals    int
}

// Run runs the workload in virtual time and returns its measurements.
func Run(w *Workload) *Result {
	r := &run{clock: clock{now: startTime}, workload: w, servers: map[string]*server{}}
	r.result = newResult(w)
	for p := range w.Pools {
		for i := range w.Pools[p].Servers {
			name := fmt.Sprintf("%s-%02d", w.Pools[p].Name, i)
			r.serverNames = append(r.serverNames, name)
			r.servers[name] = r.newServer(name, w.Domains[i%len(w.Domains)], &w.Pools[p])
		}
	}
	for i := range w.Entries {
		r.entries = append(r.entries, r.newEntry(i))
	}
	for i := range w.Streams {
		r.scheduleArrivals(&w.Streams[i], i)
	}
	for i := range w.Faults {
		r.scheduleFault(&w.Faults[i])
	}
	r.after(w.WarmUp, r.resetBusyTime)
	r.runUntil(startTime.Add(w.Duration))
	r.result.recordServerUse(r)
	r.runUntil(startTime.Add(w.Duration + settleTime))
	return r.result
}

// random returns a separate random source for each use, so that values drawn for
// one use do not affect the others.
func (r *run) random(use string, i int) *rand.Rand {
	return rand.New(rand.NewPCG(r.workload.Seed, xxhash.Sum64String(fmt.Sprintf("%s/%d", use, i))))
}

func (r *run) serversOf(p *Pool) []placement.Server {
	var all []placement.Server
	for _, name := range r.serverNames {
		if s := r.servers[name]; s.pool == p {
			all = append(all, placement.Server{Name: name, FailureDomain: s.domain, Region: region})
		}
	}
	return all
}

func (r *run) resetBusyTime() {
	for _, s := range r.servers {
		s.busyTime = 0
	}
}

// scheduleArrivals schedules the arrivals of a stream as a Poisson process.
func (r *run) scheduleArrivals(s *Stream, i int) {
	g := &arrivalProcess{
		run: r, stream: s, random: r.random("arrivals", i), shares: r.workload.shares(s),
		rate: s.rate(r.workload.pool(s.Pool)), until: s.Until,
	}
	if g.until == 0 {
		g.until = r.workload.Duration
	}
	if s.Prefixes > 1 {
		g.popularity = rand.NewZipf(g.random, zipfExponent, 1, uint64(s.Prefixes-1))
	}
	g.workspaces = slices.Sorted(maps.Keys(g.shares))
	r.after(s.From, g.scheduleNext)
}

// zipfExponent is the exponent of the distribution of prefix frequencies.
const zipfExponent = 1.1

// arrivalProcess generates the requests of a stream.
type arrivalProcess struct {
	run        *run
	stream     *Stream
	random     *rand.Rand
	popularity *rand.Zipf
	shares     map[string]float64
	workspaces []string
	rate       float64
	until      time.Duration
}

func (g *arrivalProcess) scheduleNext() {
	g.run.after(time.Duration(g.random.ExpFloat64()/g.rate*float64(time.Second)), func() {
		if g.run.now.Sub(startTime) < g.until {
			g.submit()
			g.scheduleNext()
		}
	})
}

func (g *arrivalProcess) submit() {
	s := g.stream
	g.run.arrivals++
	r := &request{
		run: g.run, stream: s, id: fmt.Sprintf("r%d", g.run.arrivals), workspace: g.drawWorkspace(),
		outputTokens: s.MinOutput + g.random.IntN(s.MaxOutput-s.MinOutput+1), arrivedAt: g.run.now,
	}
	if s.Prefixes > 0 {
		var k uint64
		if g.popularity != nil {
			k = g.popularity.Uint64()
		}
		r.prefix = fmt.Sprintf("%s prefix %d ", s.Kind, k)
		r.prompt = repeatToLength(r.prefix, s.PrefixTokens*bytesPerToken) + r.id
	}
	g.run.result.recordArrival(r)
	r.submit()
}

// repeatToLength repeats a text up to a length, at most the number of prefix bytes
// that placement uses.
func repeatToLength(text string, length int) string {
	length = min(length, placement.DefaultPrefixBytes)
	return strings.Repeat(text, length/len(text)+1)[:length]
}

// drawWorkspace draws a workspace with the probabilities given by the shares.
func (g *arrivalProcess) drawWorkspace() string {
	var sum float64
	for _, w := range g.workspaces {
		sum += g.shares[w]
	}
	at := g.random.Float64() * sum
	for _, w := range g.workspaces {
		if at -= g.shares[w]; at < 0 {
			return w
		}
	}
	return g.workspaces[len(g.workspaces)-1]
}

func (r *run) scheduleFault(f *Fault) {
	r.after(f.From, func() { r.setFault(f, true) })
	r.after(f.Until, func() { r.setFault(f, false) })
}

func (r *run) setFault(f *Fault, on bool) {
	for _, name := range r.serverNames {
		s := r.servers[name]
		switch {
		case !f.affects(s):
		case f.EachNth > 0 && on:
			s.eachNth = f.EachNth
		case f.EachNth > 0:
			s.eachNth = 0
		case on:
			s.takeDown()
		default:
			s.down = false
		}
	}
}
