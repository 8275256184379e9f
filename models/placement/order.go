package placement

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// order sorts the usable servers by the policy, most suitable first.
func (p *Placement) order(now time.Time, r Request, usable []*state) []*state {
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

// affinity takes, of the servers most likely to hold the prefix, the first
// with room. When none has room it takes the least busy server of all.
func (p *Placement) affinity(now time.Time, r Request, usable []*state) []*state {
	ordered := p.byPrefix(r.Prompt, usable)
	near := min(p.candidates, len(ordered))
	slices.SortStableFunc(ordered[:near], func(a, b *state) int {
		return cmp.Compare(p.crowding(now, r, a), p.crowding(now, r, b))
	})
	if ordered[0].hasRoom(now, r.Rank, p.memory) {
		return ordered
	}
	rest := ordered[near:]
	slices.SortStableFunc(rest, func(a, b *state) int {
		return cmp.Compare(a.busy(now, r.Rank, p.memory), b.busy(now, r.Rank, p.memory))
	})
	if len(rest) > 0 && rest[0].busy(now, r.Rank, p.memory) < ordered[0].busy(now, r.Rank, p.memory) {
		return slices.Insert(slices.Delete(ordered, near, near+1), 0, rest[0])
	}
	return ordered
}

// nearest sorts servers with room before others, the own region and failure
// domain first, for requests without a prompt.
func (p *Placement) nearest(now time.Time, r Request, usable []*state) []*state {
	p.shuffle(usable)
	slices.SortStableFunc(usable, func(a, b *state) int {
		return cmp.Or(
			cmp.Compare(p.crowding(now, r, a), p.crowding(now, r, b)),
			cmp.Compare(p.distance(a), p.distance(b)),
			cmp.Compare(a.busy(now, r.Rank, p.memory), b.busy(now, r.Rank, p.memory)),
		)
	})
	return usable
}

// distance is 0 within the failure domain, 1 within the region and 2 beyond.
func (p *Placement) distance(s *state) int {
	switch {
	case s.Region != p.region:
		return 2
	case s.Domain != p.domain:
		return 1
	}
	return 0
}

// crowding is 0 for a server with room, and how busy it is otherwise.
func (p *Placement) crowding(now time.Time, r Request, s *state) float64 {
	if s.hasRoom(now, r.Rank, p.memory) {
		return 0
	}
	return s.busy(now, r.Rank, p.memory)
}

// byPrefix sorts servers by rendezvous hashing of the prompt's prefix, those of
// the own region first.
func (p *Placement) byPrefix(prompt string, usable []*state) []*state {
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
func (p *Placement) twoChoices(now time.Time, r Request, usable []*state) []*state {
	p.shuffle(usable)
	if len(usable) > 1 &&
		usable[1].busy(now, r.Rank, p.memory) < usable[0].busy(now, r.Rank, p.memory) {
		usable[0], usable[1] = usable[1], usable[0]
	}
	return usable
}

func (p *Placement) shuffle(servers []*state) {
	p.rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
}
