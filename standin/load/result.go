package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
)

// Result holds the measurements of a run. Times and shares cover the requests that
// arrived after the warm-up. Tokens cover the time between the warm-up and the end
// of the arrivals.
type Result struct {
	workload *Workload
	seconds  int

	groups map[GroupKey]*Group

	submitted, admitted, dispatched, retried int
	generatedTokens, wastedTokens            int
	promptTokens, cachedTokens               map[string]int
	busyMax, busyMean                        map[string]float64
	refusals                                 map[refusal.Reason]int
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

// Range and precision of the histograms.
const (
	longestMicroseconds = int64(20 * time.Minute / time.Microsecond)
	significantFigures  = 3
)

func newGroup(seconds int) *Group {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMicroseconds, significantFigures) }
	return &Group{
		GoodputTokens: make([]int, seconds), SlotTime: make([]time.Duration, seconds),
		FirstToken: histogram(), Completion: histogram(), TokenGap: histogram(), RefusalLatency: histogram(),
	}
}

func newResult(w *Workload) *Result {
	return &Result{
		workload: w, groups: map[GroupKey]*Group{}, seconds: int((w.Duration + settleTime) / time.Second),
		promptTokens: map[string]int{}, cachedTokens: map[string]int{},
		busyMax: map[string]float64{}, busyMean: map[string]float64{}, refusals: map[refusal.Reason]int{},
	}
}

// Group returns the measurements of a group, which are empty if it had no requests.
func (r *Result) Group(k GroupKey) *Group {
	g := r.groups[k]
	if g == nil {
		g = newGroup(r.seconds)
		r.groups[k] = g
	}
	return g
}

// groupsOf returns the two groups of a request: its rank's and its workspace's.
func (r *Result) groupsOf(q *request) [2]*Group {
	k := GroupKey{Pool: q.stream.Pool, Rank: q.stream.Rank}
	all := r.Group(k)
	k.Workspace = q.workspace
	return [2]*Group{all, r.Group(k)}
}

func (r *Result) inMeasuredTime(at time.Time) bool {
	since := at.Sub(startTime)
	return since >= r.workload.WarmUp && since < r.workload.Duration
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the histogram's range, so that it cannot be rejected.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestMicroseconds))
}

func (r *Result) recordArrival(q *request) {
	for _, g := range r.groupsOf(q) {
		if r.inMeasuredTime(q.arrivedAt) {
			g.Arrived++
		}
	}
}

func (r *Result) recordTokenGap(q *request, d time.Duration) {
	for _, g := range r.groupsOf(q) {
		if r.inMeasuredTime(q.arrivedAt) {
			recordDuration(g.TokenGap, d)
		}
	}
}

func (r *Result) recordToken(q *request, at time.Time) {
	if !r.inMeasuredTime(at) {
		return
	}
	r.generatedTokens++
	for _, g := range r.groupsOf(q) {
		g.Tokens++
	}
}

// recordSlotTime adds the time for which a request used a slot.
func (r *Result) recordSlotTime(q *request, took time.Duration) {
	second := min(int(q.run.now.Sub(startTime)/time.Second), r.seconds-1)
	for _, g := range r.groupsOf(q) {
		g.SlotTime[second] += took
	}
}

func (r *Result) recordCompletion(q *request) {
	now := q.run.now
	inTime := q.deadline.IsZero() || !now.After(q.deadline)
	r.recordWaste(q, len(q.tokenTimes)-q.outputTokens)
	for _, g := range r.groupsOf(q) {
		if inTime {
			for _, at := range q.tokenTimes {
				g.GoodputTokens[min(int(at.Sub(startTime)/time.Second), r.seconds-1)]++
			}
		}
		if !r.inMeasuredTime(q.arrivedAt) {
			continue
		}
		g.Completed++
		if inTime {
			g.InTime++
		}
		if q.resubmissions == 1 {
			g.CompletedOnResubmit++
		}
		recordDuration(g.FirstToken, q.firstTokenAt.Sub(q.submittedAt))
		recordDuration(g.Completion, now.Sub(q.submittedAt))
	}
}

// recordFailedSubmission records a submission that ended without a complete
// response.
func (r *Result) recordFailedSubmission(q *request, err *refusal.Error) {
	r.recordWaste(q, len(q.tokenTimes))
	if !r.inMeasuredTime(q.arrivedAt) {
		return
	}
	r.refusals[err.Reason]++
	if err.Outcome == refusal.NotRun {
		for _, g := range r.groupsOf(q) {
			recordDuration(g.RefusalLatency, q.run.now.Sub(q.decidedAt))
		}
	}
	if q.resubmissions > 0 || err.RetryAfter == 0 || err.Outcome != refusal.NotRun {
		return
	}
	for _, g := range r.groupsOf(q) {
		g.RetryAdvised++
		if q.stream.Returns > 0 {
			g.Resubmitted++
		}
	}
}

// recordFinalFailure records a request that failed and is not submitted again.
func (r *Result) recordFinalFailure(q *request, err *refusal.Error) {
	if !r.inMeasuredTime(q.arrivedAt) {
		return
	}
	for _, g := range r.groupsOf(q) {
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

func (r *Result) recordWaste(q *request, tokens int) {
	if tokens > 0 && r.inMeasuredTime(q.run.now) {
		r.wastedTokens += tokens
	}
}

func (r *Result) recordPrefixHit(now time.Time, cached int, q *request) {
	if r.inMeasuredTime(now) {
		r.promptTokens[q.stream.Pool] += q.promptTokens()
		r.cachedTokens[q.stream.Pool] += cached
	}
}

// recordServerUse records the highest and the mean busy time of each pool's servers.
func (r *Result) recordServerUse(run *run) {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, name := range run.serverNames {
		s := run.servers[name]
		used := s.busyTime.Seconds()
		r.busyMax[s.pool.Name] = max(r.busyMax[s.pool.Name], used)
		sums[s.pool.Name] += used
		counts[s.pool.Name]++
	}
	for pool, sum := range sums {
		r.busyMean[pool] = sum / counts[pool]
	}
}
