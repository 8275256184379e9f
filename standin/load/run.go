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
	// region is the one region that entries and servers are in.
	region = "region"
	// bytesPerToken is the usual length of a token in a prompt.
	bytesPerToken = 4
	// settle is how long a run goes on for the requests that are still open when
	// the arrivals end.
	settle = 20 * time.Minute
)

// run is one run of a workload.
type run struct {
	clock
	workload *Workload
	servers  map[string]*server
	names    []string
	entries  []*entry
	result   *Result
	turn     int
	arrived  int
}

// Run plays the workload to its end.
func Run(w *Workload) *Result {
	r := &run{clock: clock{now: start}, workload: w, servers: map[string]*server{}}
	r.result = newResult(w)
	for p := range w.Pools {
		for i := range w.Pools[p].Servers {
			name := fmt.Sprintf("%s-%02d", w.Pools[p].Name, i)
			r.names = append(r.names, name)
			r.servers[name] = r.newServer(name, w.Domains[i%len(w.Domains)], &w.Pools[p])
		}
	}
	for i := range w.Entries {
		r.entries = append(r.entries, r.newEntry(i))
	}
	for i := range w.Streams {
		r.startStream(&w.Streams[i], i)
	}
	for i := range w.Faults {
		r.startFault(&w.Faults[i])
	}
	r.after(w.WarmUp, r.forgetBusy)
	r.play(start.Add(w.Duration))
	r.result.busy(r)
	r.play(start.Add(w.Duration + settle))
	return r.result
}

// random returns a random source of its own for each use, so that one use does
// not change what others draw.
func (r *run) random(use string, i int) *rand.Rand {
	return rand.New(rand.NewPCG(r.workload.Seed, xxhash.Sum64String(fmt.Sprintf("%s/%d", use, i))))
}

func (r *run) serversOf(p *Pool) []placement.Server {
	var all []placement.Server
	for _, name := range r.names {
		if s := r.servers[name]; s.pool == p {
			all = append(all, placement.Server{Name: name, FailureDomain: s.domain, Region: region})
		}
	}
	return all
}

func (r *run) forgetBusy() {
	for _, s := range r.servers {
		s.busy = 0
	}
}

// startStream makes the arrivals of a stream, with exponential times between
// them.
func (r *run) startStream(s *Stream, i int) {
	g := &arrivals{
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
	r.after(s.From, g.next)
}

// zipfExponent is how unequal the frequencies of prefixes are.
const zipfExponent = 1.1

type arrivals struct {
	run        *run
	stream     *Stream
	random     *rand.Rand
	popularity *rand.Zipf
	shares     map[string]float64
	workspaces []string
	rate       float64
	until      time.Duration
}

func (g *arrivals) next() {
	g.run.after(time.Duration(g.random.ExpFloat64()/g.rate*float64(time.Second)), func() {
		if g.run.now.Sub(start) < g.until {
			g.arrive()
			g.next()
		}
	})
}

func (g *arrivals) arrive() {
	s := g.stream
	g.run.arrived++
	r := &request{
		run: g.run, stream: s, id: fmt.Sprintf("r%d", g.run.arrived), workspace: g.workspace(),
		output: s.MinOutput + g.random.IntN(s.MaxOutput-s.MinOutput+1), arrival: g.run.now,
	}
	if s.Prefixes > 0 {
		var k uint64
		if g.popularity != nil {
			k = g.popularity.Uint64()
		}
		r.prefix = fmt.Sprintf("%s prefix %d ", s.Kind, k)
		r.prompt = beginning(r.prefix, s.PrefixTokens*bytesPerToken) + r.id
	}
	g.run.result.arrived(r)
	r.submit()
}

// beginning repeats a text up to a length, within what placement looks at.
func beginning(text string, length int) string {
	length = min(length, placement.DefaultPrefixBytes)
	return strings.Repeat(text, length/len(text)+1)[:length]
}

// workspace draws a caller by the shares.
func (g *arrivals) workspace() string {
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

func (r *run) startFault(f *Fault) {
	r.after(f.From, func() { r.fault(f, true) })
	r.after(f.Until, func() { r.fault(f, false) })
}

func (r *run) fault(f *Fault, on bool) {
	for _, name := range r.names {
		s := r.servers[name]
		switch {
		case !f.hits(s):
		case f.EachNth > 0 && on:
			s.eachNth = f.EachNth
		case f.EachNth > 0:
			s.eachNth = 0
		case on:
			s.lose()
		default:
			s.lost = false
		}
	}
}
