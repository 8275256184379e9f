package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusline/crocusline/models/rank"
)

// Quantile returns the duration at the given percentile of a histogram.
func Quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// Goodput is the number of tokens per second that belong to responses completed
// within their deadline.
func (r *Result) Goodput() float64 {
	from, until := int(r.workload.WarmUp/time.Second), int(r.workload.Duration/time.Second)
	sum := 0
	for k, g := range r.groups {
		if k.Workspace == "" {
			sum += sumInts(g.GoodputTokens[from:until])
		}
	}
	return float64(sum) / float64(until-from)
}

// WastedShare is the share of the generated tokens that belong to responses that
// were not completed or that had to be generated again.
func (r *Result) WastedShare() float64 {
	return ratio(float64(r.wastedTokens), float64(r.generatedTokens))
}

// HitRate is the share of a pool's prompt tokens found in the prefix caches.
func (r *Result) HitRate(pool string) float64 {
	return ratio(float64(r.cachedTokens[pool]), float64(r.promptTokens[pool]))
}

// Imbalance is the busy time of a pool's busiest server divided by the mean of the
// pool.
func (r *Result) Imbalance(pool string) float64 { return ratio(r.busyMax[pool], r.busyMean[pool]) }

// Amplification is the number of attempts per request admitted by the entries.
func (r *Result) Amplification() float64 { return ratio(float64(r.dispatched), float64(r.admitted)) }

// TokenShare is the share of a pool's generated tokens that went to a rank.
func (r *Result) TokenShare(pool string, rk rank.Rank) float64 {
	return ratio(float64(r.Group(GroupKey{Pool: pool, Rank: rk}).Tokens), float64(r.generatedIn(pool)))
}

// JainIndex is Jain's fairness index of the tokens generated for the workspaces of
// a rank, with equal weights for all workspaces.
func (r *Result) JainIndex(pool string, rk rank.Rank) float64 {
	var sum, squares float64
	names := r.workspaces(pool, rk)
	for _, w := range names {
		x := float64(r.Group(GroupKey{Pool: pool, Rank: rk, Workspace: w}).Tokens)
		sum += x
		squares += x * x
	}
	return ratio(sum*sum, squares*float64(len(names)))
}

// averagingSeconds is the window over which goodput is averaged.
const averagingSeconds = 10

// SlotShare is a rank's share of the slot time that a pool used between two times.
func (r *Result) SlotShare(pool string, rk rank.Rank, from, until time.Duration) float64 {
	var own, total time.Duration
	for each := rank.Urgent; each <= rank.Bulk; each++ {
		for _, d := range r.Group(GroupKey{Pool: pool, Rank: each}).SlotTime[int(from/time.Second):int(until/time.Second)] {
			total += d
			if each == rk {
				own += d
			}
		}
	}
	return ratio(float64(own), float64(total))
}

// RecoveryTime is the time from the fault until a pool's goodput stays at or above
// the given share of the goodput of the same workload without faults. ok is false
// if that does not happen before the arrivals end.
func (r *Result) RecoveryTime(without *Result, pool string, fault time.Duration, share float64) (d time.Duration, ok bool) {
	faultAt, until := int(fault/time.Second), int(r.workload.Duration/time.Second)
	recoveredAt := faultAt
	for at := faultAt; at+averagingSeconds <= until; at++ {
		if float64(r.goodputTokens(pool, at)) < share*float64(without.goodputTokens(pool, at)) {
			recoveredAt = at + 1
		}
	}
	return time.Duration(recoveredAt-faultAt) * time.Second, recoveredAt+averagingSeconds <= until
}

// goodputTokens returns the number of goodput tokens of a pool in the averaging
// window that starts at the given second.
func (r *Result) goodputTokens(pool string, at int) int {
	sum := 0
	for rk := rank.Urgent; rk <= rank.Bulk; rk++ {
		sum += sumInts(r.Group(GroupKey{Pool: pool, Rank: rk}).GoodputTokens[at : at+averagingSeconds])
	}
	return sum
}

func sumInts(values []int) int {
	sum := 0
	for _, v := range values {
		sum += v
	}
	return sum
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// workspaces returns the workspaces of a rank, sorted by name.
func (r *Result) workspaces(pool string, rk rank.Rank) []string {
	var all []string
	for k := range r.groups {
		if k.Pool == pool && k.Rank == rk && k.Workspace != "" {
			all = append(all, k.Workspace)
		}
	}
	slices.Sort(all)
	return all
}
