package notice

import (
	"math"
	"time"

	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/route"
)

// DefaultColdOver and DefaultColdSlack are what a cold server takes beyond its limit within a second if
// the operators state nothing else.
const (
	DefaultColdOver  = 1.5
	DefaultColdSlack = 5.0
)

const (
	// noSequence is the sequence of a server of which no record was read.
	noSequence = -1
	// groups is the number of groups of gateways that may each have saved up requests: those that are
	// connected, and those that are not.
	groups = 2
	// rounding is added before a number of requests is rounded down.
	rounding = 1e-9
)

// coldTerms are what the list says of a server's warm-up.
type coldTerms struct {
	// until is when the server is warm, as far as is known.
	until time.Time
	// sequence is that of the record that was read last.
	sequence int64
	// limit is that of a cold server of the pool, 0 if there is none, and quota what follows from it.
	limit float64
	quota quota
}

func (t *terms) isCold(now time.Time) bool { return t.cold.limit > 0 && now.Before(t.cold.until) }

// SetPools sets the published pools, which have the limits of cold servers.
func (b *Board) SetPools(pools map[string]route.Pool) { b.pools = pools }

// recordWarmUp records the server's entry, and reports whether the server has become cold. Its warm-up
// counts from when a record was first read, as the time at which it was written is unknown: the server is
// warm by then. A record that is read again has nothing new, and one that is older than the last one
// extends the warm-up at most.
func (b *Board) recordWarmUp(now time.Time, t *terms, s roster.Server) bool {
	wasCold := t.isCold(now)
	if s.Sequence != t.cold.sequence {
		if until := now.Add(s.WarmUp); s.Sequence > t.cold.sequence || until.After(t.cold.until) {
			t.cold.until = until
		}
		t.cold.sequence = s.Sequence
	}
	if limit := b.pools[s.Pool].ColdLimit; limit != t.cold.limit {
		t.cold.limit, t.cold.quota = limit, coldQuota(limit, b.coldOver, b.coldSlack)
		t.sharedAt = time.Time{}
	}
	if !t.isCold(now) {
		return false
	}
	if !wasCold {
		// What was saved up while the server was warm is void.
		t.bucket = bucket{}
	}
	// The shares are determined at once, also if there is no request.
	t.update(now, b.fleet, s.ID, t.quota(now))
	return !wasCold
}

// Cold returns the number of servers that are cold and limited.
func (b *Board) Cold(now time.Time) int {
	n := 0
	for _, t := range b.servers {
		if t.isCold(now) && now.Sub(t.listedAt) < forgetAfter {
			n++
		}
	}
	return n
}

// coldQuota returns the quota with which all gateways together send a cold server at most over times the
// limit, and slack, within any second. The worst case are two groups of gateways that don't know of each
// other. Those that are connected use the whole rate, those that are not disconnectedShare of it, and
// each sharer of both groups may have saved up requests. What the rates leave of the bound is divided
// between the groups. If that is less than a request for each, one gateway uses a lower rate.
func coldQuota(limit, over, slack float64) quota {
	bound := over*limit + slack
	burst := (bound - (1+disconnectedShare)*limit) / groups
	if burst+rounding >= 1 {
		return quota{rate: limit, sharers: int(math.Min(burst+rounding, math.MaxInt32)), burst: burst}
	}
	return quota{rate: max(0, (bound-groups)/(1+disconnectedShare)), sharers: 1, burst: 1}
}
