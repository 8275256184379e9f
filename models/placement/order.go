package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusline/crocusline/models/rank"
)

// order sorts the usable servers by the policy, in order of preference.
func (p *Selector) order(now time.Time, r Request, usable []*serverState) []*serverState {
	switch p.policy {
	case PureAffinity:
		return p.byPrefix(r.Prompt, usable)
	case TwoChoices:
		return p.twoChoices(now, r, usable)
	case RoundRobin:
		p.roundRobinNext++
		first := p.roundRobinNext % len(usable)
		return append(slices.Clone(usable[first:]), usable[:first]...)
	case Random:
		p.shuffle(usable)
		return usable
	case Affinity:
		if r.Prompt == "" {
			return p.byDistance(now, r, usable)
		}
	}
	return p.byAffinity(now, r, usable)
}

// byAffinity sorts servers by how likely they are to have the prefix cached,
// followed by those whose load exceeds the mean by more than the margin, least
// loaded first. A frequent prefix therefore spreads over as many servers as it
// needs. Both the total load of a server and the load ahead of the request's rank
// are compared.
func (p *Selector) byAffinity(now time.Time, r Request, usable []*serverState) []*serverState {
	all, own := p.estimate(now, rank.Bulk, usable), p.estimate(now, r.Rank, usable)
	overload := make(map[*serverState]float64, len(usable))
	for _, s := range usable {
		if all.byServer[s] > all.mean+p.loadMargin || own.byServer[s] > own.mean+p.loadMargin || own.byServer[s] >= 1 {
			overload[s] = 1 + own.byServer[s]
		}
	}
	ordered := p.byPrefix(r.Prompt, usable)
	slices.SortStableFunc(ordered, func(a, b *serverState) int { return cmp.Compare(overload[a], overload[b]) })
	return ordered
}

// byDistance sorts servers for requests without a prompt: those with free slots
// first, and among these the ones in the entry's failure domain and region.
func (p *Selector) byDistance(now time.Time, r Request, usable []*serverState) []*serverState {
	loads := p.estimate(now, r.Rank, usable)
	p.shuffle(usable)
	slices.SortStableFunc(usable, func(a, b *serverState) int {
		return cmp.Or(
			cmp.Compare(loads.excess(a), loads.excess(b)),
			cmp.Compare(p.distance(a), p.distance(b)),
			cmp.Compare(loads.byServer[a], loads.byServer[b]),
		)
	})
	return usable
}

// estimates holds the estimated utilization of servers.
type estimates struct {
	byServer map[*serverState]float64
	mean     float64
}

// excess returns 0 for a server with a free slot, and its utilization otherwise.
func (e estimates) excess(s *serverState) float64 {
	if e.byServer[s] < 1 {
		return 0
	}
	return e.byServer[s]
}

// estimate estimates the utilization of servers from their last load reports, each
// decayed to the mean by its age.
func (p *Selector) estimate(now time.Time, r rank.Rank, servers []*serverState) estimates {
	e := estimates{byServer: make(map[*serverState]float64, len(servers))}
	for _, s := range servers {
		s.dropSentUntil(now.Add(-p.loadDecay))
		e.mean += s.utilization(r) / float64(len(servers))
	}
	for _, s := range servers {
		weight := 1.0
		if p.loadDecay > 0 {
			weight = math.Exp(-float64(now.Sub(s.observed)) / float64(p.loadDecay))
		}
		e.byServer[s] = e.mean + weight*(s.utilization(r)-e.mean)
	}
	return e
}

// distance returns 0 within the failure domain, 1 within the region and 2
// otherwise.
func (p *Selector) distance(s *serverState) int {
	switch {
	case s.Region != p.region:
		return 2
	case s.FailureDomain != p.domain:
		return 1
	}
	return 0
}

// byPrefix sorts servers by rendezvous hashing of the prompt's prefix, those of the
// same region first.
func (p *Selector) byPrefix(prompt string, usable []*serverState) []*serverState {
	type scored struct {
		*serverState
		score uint64
	}
	prefix := p.prefixHash(prompt)
	all := make([]scored, len(usable))
	for i, s := range usable {
		all[i] = scored{serverState: s, score: rendezvousScore(prefix, s.Name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(
			cmp.Compare(p.distance(a.serverState)/2, p.distance(b.serverState)/2),
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.Name, b.Name),
		)
	})
	ordered := make([]*serverState, len(all))
	for i, s := range all {
		ordered[i] = s.serverState
	}
	return ordered
}

// rendezvousScore returns the rendezvous hash of a server for a prefix.
func rendezvousScore(prefix uint64, server string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(server), prefix))
}

// twoChoices puts the less loaded of two random servers first.
func (p *Selector) twoChoices(now time.Time, r Request, usable []*serverState) []*serverState {
	loads := p.estimate(now, r.Rank, usable)
	p.shuffle(usable)
	if len(usable) > 1 && loads.byServer[usable[1]] < loads.byServer[usable[0]] {
		usable[0], usable[1] = usable[1], usable[0]
	}
	return usable
}

func (p *Selector) shuffle(servers []*serverState) {
	p.rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
}
