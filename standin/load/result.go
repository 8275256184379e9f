package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
)

// Result is what a run measured. Times and shares are of the requests that
// arrived after the warm-up; tokens are of the time between warm-up and the end
// of the arrivals.
type Result struct {
	workload *Workload
	seconds  int

	groups map[GroupKey]*Group

	asked, passed, dispatched, retried int
	generated, wasted                  int
	promptTokens, cachedTokens         map[string]int
	busyMax, busyMean                  map[string]float64
	reasons                            map[refusal.Reason]int
}

// GroupKey identifies a group of requests: all requests of a rank in a pool, or
// those of one workspace among them. Workspace is empty for the whole rank.
type GroupKey struct {
	Pool      string
	Rank      rank.Rank
	Workspace string
}

// Group holds the counters and histograms of a group of requests.
type Group struct {
	Arrived int
	// Completed counts complete responses, InTime those within the deadline.
	Completed, InTime int
	// Rejected counts requests that ended with a refusal and did not run. Failed
	// counts idempotent requests that failed while they ran, Unknown the ones that
	// are not idempotent, whose outcome is unknown.
	Rejected, Failed, Unknown int
	// RetryAdvised counts requests refused with a time at which to submit again,
	// Resubmitted those submitted again at that time, and CompletedOnResubmit those
	// completed by the first such submission.
	RetryAdvised, Resubmitted, CompletedOnResubmit int
	// Tokens counts generated tokens. GoodputTokens counts, by the second in which
	// they were generated, those of responses completed within the deadline.
	Tokens        int
	GoodputTokens []int
	// SlotTime is the time for which slots were in use, by second.
	SlotTime   []time.Duration
	FirstToken *hdrhistogram.Histogram
	Completion *hdrhistogram.Histogram
	TokenGap   *hdrhistogram.Histogram
	// RefusalLatency is the time from the decision to refuse a request that did not
	// run until the caller receives the refusal.
	RefusalLatency *hdrhistogram.Histogram
}

// Bounds of the histograms.
const (
	longest = int64(20 * time.Minute / time.Microsecond)
	digits  = 3
)

func newGroup(seconds int) *Group {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, digits) }
	return &Group{
		GoodputTokens: make([]int, seconds), SlotTime: make([]time.Duration, seconds),
		FirstToken: histogram(), Completion: histogram(), TokenGap: histogram(), RefusalLatency: histogram(),
	}
}

func newResult(w *Workload) *Result {
	return &Result{
		workload: w, groups: map[GroupKey]*Group{}, seconds: int((w.Duration + settle) / time.Second),
		promptTokens: map[string]int{}, cachedTokens: map[string]int{},
		busyMax: map[string]float64{}, busyMean: map[string]float64{}, reasons: map[refusal.Reason]int{},
	}
}

// Group returns what a group got, which is empty when nobody belonged to it.
func (r *Result) Group(k GroupKey) *Group {
	g := r.groups[k]
	if g == nil {
		g = newGroup(r.seconds)
		r.groups[k] = g
	}
	return g
}

// of returns the groups that a request counts in.
func (r *Result) of(q *request) [2]*Group {
	k := GroupKey{Pool: q.stream.Pool, Rank: q.stream.Rank}
	all := r.Group(k)
	k.Workspace = q.workspace
	return [2]*Group{all, r.Group(k)}
}

func (r *Result) measured(at time.Time) bool {
	since := at.Sub(start)
	return since >= r.workload.WarmUp && since < r.workload.Duration
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A time beyond the longest is an error of the histogram, not of the run.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longest))
}

func (r *Result) arrived(q *request) {
	for _, g := range r.of(q) {
		if r.measured(q.arrival) {
			g.Arrived++
		}
	}
}

func (r *Result) gap(q *request, d time.Duration) {
	for _, g := range r.of(q) {
		if r.measured(q.arrival) {
			record(g.TokenGap, d)
		}
	}
}

func (r *Result) served(q *request, at time.Time) {
	if !r.measured(at) {
		return
	}
	r.generated++
	for _, g := range r.of(q) {
		g.Tokens++
	}
}

// slot takes in that a request held a slot for a time.
func (r *Result) slot(q *request, took time.Duration) {
	second := min(int(q.run.now.Sub(start)/time.Second), r.seconds-1)
	for _, g := range r.of(q) {
		g.SlotTime[second] += took
	}
}

func (r *Result) whole(q *request) {
	now := q.run.now
	inTime := q.deadline.IsZero() || !now.After(q.deadline)
	r.waste(q, len(q.generated)-q.output)
	for _, g := range r.of(q) {
		if inTime {
			for _, at := range q.generated {
				g.GoodputTokens[min(int(at.Sub(start)/time.Second), r.seconds-1)]++
			}
		}
		if !r.measured(q.arrival) {
			continue
		}
		g.Completed++
		if inTime {
			g.InTime++
		}
		if q.returned == 1 {
			g.CompletedOnResubmit++
		}
		record(g.FirstToken, q.first.Sub(q.asked))
		record(g.Completion, now.Sub(q.asked))
	}
}

// broken takes in that a try of the caller ended without a whole answer.
func (r *Result) broken(q *request, err *refusal.Error) {
	r.waste(q, len(q.generated))
	if !r.measured(q.arrival) {
		return
	}
	r.reasons[err.Reason]++
	if err.Outcome == refusal.NotRun {
		for _, g := range r.of(q) {
			record(g.RefusalLatency, q.run.now.Sub(q.decided))
		}
	}
	if q.returned > 0 || err.RetryAfter == 0 || err.Outcome != refusal.NotRun {
		return
	}
	for _, g := range r.of(q) {
		g.RetryAdvised++
		if q.stream.Returns > 0 {
			g.Resubmitted++
		}
	}
}

// left takes in that the caller does not come back.
func (r *Result) left(q *request, err *refusal.Error) {
	if !r.measured(q.arrival) {
		return
	}
	for _, g := range r.of(q) {
		switch {
		case err.Outcome == refusal.NotRun:
			g.Rejected++
		case q.stream.Idempotent:
			g.Failed++
		default:
			g.Unknown++
		}
	}
}

func (r *Result) waste(q *request, tokens int) {
	if tokens > 0 && r.measured(q.run.now) {
		r.wasted += tokens
	}
}

func (r *Result) prefixHit(now time.Time, hit int, q *request) {
	if r.measured(now) {
		r.promptTokens[q.stream.Pool] += q.promptTokens()
		r.cachedTokens[q.stream.Pool] += hit
	}
}

// busy takes in how evenly the servers were used.
func (r *Result) busy(run *run) {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, name := range run.names {
		s := run.servers[name]
		used := s.busy.Seconds()
		r.busyMax[s.pool.Name] = max(r.busyMax[s.pool.Name], used)
		sums[s.pool.Name] += used
		counts[s.pool.Name]++
	}
	for pool, sum := range sums {
		r.busyMean[pool] = sum / counts[pool]
	}
}
