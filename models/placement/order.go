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

// order sorts the usable servers by the policy, most suitable first.
func (p *Selector) order(now time.Time, r Request, usable []*state) []*state {
	switch p.policy {
	case PureAffinity:
		return p.byPrefix(r.Prompt, usable)
	case TwoChoices:
		return p.twoChoices(now, r, usable)
	case RoundRobin:
		p.turn++
		first := p.turn % len(usable)
		return append(slices.Clone(usable[first:]), usable[:first]...)
	case Random:
		p.shuffle(usable)
		return usable
	case Affinity:
		if r.Prompt == "" {
			return p.nearest(now, r, usable)
		}
	}
	return p.affinity(now, r, usable)
}

// affinity takes, in the order in which servers are likely to hold the prefix,
// those that are not much busier than the mean first, and of the rest the least
// busy. So a frequent prefix spreads over as many servers as it needs. Servers
// are compared by all their work and by what is ahead of the rank.
func (p *Selector) affinity(now time.Time, r Request, usable []*state) []*state {
	all, own := p.estimate(now, rank.Bulk, usable), p.estimate(now, r.Rank, usable)
	crowding := make(map[*state]float64, len(usable))
	for _, s := range usable {
		if all.of[s] > all.mean+p.spread || own.of[s] > own.mean+p.spread || own.of[s] >= 1 {
			crowding[s] = 1 + own.of[s]
		}
	}
	ordered := p.byPrefix(r.Prompt, usable)
	slices.SortStableFunc(ordered, func(a, b *state) int { return cmp.Compare(crowding[a], crowding[b]) })
	return ordered
}

// nearest sorts servers with room before others, the own region and failure
// domain first, for requests without a prompt.
func (p *Selector) nearest(now time.Time, r Request, usable []*state) []*state {
	busy := p.estimate(now, r.Rank, usable)
	p.shuffle(usable)
	slices.SortStableFunc(usable, func(a, b *state) int {
		return cmp.Or(
			cmp.Compare(busy.wait(a), busy.wait(b)),
			cmp.Compare(p.distance(a), p.distance(b)),
			cmp.Compare(busy.of[a], busy.of[b]),
		)
	})
	return usable
}

// estimate is how busy servers probably are now.
type estimate struct {
	of   map[*state]float64
	mean float64
}

// wait is 0 for a server with room, and how busy it is otherwise.
func (e estimate) wait(s *state) float64 {
	if e.of[s] < 1 {
		return 0
	}
	return e.of[s]
}

// estimate takes what was observed of each server, faded to the mean by its age.
func (p *Selector) estimate(now time.Time, r rank.Rank, servers []*state) estimate {
	e := estimate{of: make(map[*state]float64, len(servers))}
	for _, s := range servers {
		s.forget(now.Add(-p.memory))
		e.mean += s.busy(r) / float64(len(servers))
	}
	for _, s := range servers {
		weight := 1.0
		if p.memory > 0 {
			weight = math.Exp(-float64(now.Sub(s.observed)) / float64(p.memory))
		}
		e.of[s] = e.mean + weight*(s.busy(r)-e.mean)
	}
	return e
}

// distance is 0 within the failure domain, 1 within the region and 2 beyond.
func (p *Selector) distance(s *state) int {
	switch {
	case s.Region != p.region:
		return 2
	case s.FailureDomain != p.domain:
		return 1
	}
	return 0
}

// byPrefix sorts servers by rendezvous hashing of the prompt's prefix, those of
// the own region first.
func (p *Selector) byPrefix(prompt string, usable []*state) []*state {
	type scored struct {
		*state
		score uint64
	}
	prefix := p.prefix(prompt)
	all := make([]scored, len(usable))
	for i, s := range usable {
		all[i] = scored{state: s, score: score(prefix, s.Name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(
			cmp.Compare(p.distance(a.state)/2, p.distance(b.state)/2),
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.Name, b.Name),
		)
	})
	ordered := make([]*state, len(all))
	for i, s := range all {
		ordered[i] = s.state
	}
	return ordered
}

// score ranks a server for a prefix.
func score(prefix uint64, server string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(server), prefix))
}

// twoChoices puts the less busy of two random servers first.
func (p *Selector) twoChoices(now time.Time, r Request, usable []*state) []*state {
	busy := p.estimate(now, r.Rank, usable)
	p.shuffle(usable)
	if len(usable) > 1 && busy.of[usable[1]] < busy.of[usable[0]] {
		usable[0], usable[1] = usable[1], usable[0]
	}
	return usable
}

func (p *Selector) shuffle(servers []*state) {
	p.rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
}
