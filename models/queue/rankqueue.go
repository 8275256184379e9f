package queue

import (
	"math"
	"slices"
	"strings"
	"time"
)

// rankQueue holds the requests of one rank, in one flow per workspace.
type rankQueue struct {
	floor     float64
	waitLimit time.Duration
	// flows is sorted by workspace, so that sums over it are reproducible.
	flows   []*flow
	waiting int
	// virtualTime is the lowest counter of the workspaces with waiting or running
	// requests. When an idle workspace becomes active, its counter is raised to at
	// least the virtual time minus its burst, so that it accumulates no more
	// service than the burst while it is idle.
	virtualTime float64
	// floorCredit is the run time that the rank has earned by its floor and not
	// used.
	floorCredit float64
	// expectedRun is the sum of the expected run times of the running items.
	expectedRun time.Duration
	// recentUse is the expected run time of the rank's recent starts.
	recentUse decayingSum
	// lastRetry is the latest retry time given to a refused caller.
	lastRetry time.Time
}

// flow holds the requests of one workspace in one rank.
type flow struct {
	workspace string
	// counter is the number of tokens charged to the workspace, divided by its weight.
	counter float64
	weight  float64
	// burst is how far the counter may lie below the virtual time.
	burst   float64
	waiting []*item
	running []*item
}

// settledCounter returns the counter without the tokens that running items have
// been charged for but have not used yet.
func (f *flow) settledCounter() float64 {
	var pending float64
	for _, it := range f.running {
		pending += it.charged - it.usedTokens()
	}
	return f.counter - pending/f.weight
}

// slotsPerWeight returns the number of slots that the workspace occupies, plus
// more, divided by its weight.
func (f *flow) slotsPerWeight(more int) float64 { return float64(len(f.running)+more) / f.weight }

// burstRequests is the number of requests' worth of service that a workspace may
// accumulate while it uses less than its share.
const burstRequests = 2

// floorDeficit returns the run time that the rank will be short of its floor when
// its running items have ended.
func (rq *rankQueue) floorDeficit() float64 { return rq.floorCredit - float64(rq.expectedRun) }

// insert appends an item of the given cost, in tokens, to its workspace's flow. A
// preempted item is inserted at the front.
func (rq *rankQueue) insert(it *item, cost float64) {
	rq.advanceVirtualTime()
	f := rq.ensureFlow(it)
	if len(f.waiting) == 0 && !it.resumed {
		f.burst = burstRequests * cost / f.weight
		f.counter = math.Max(f.counter, rq.virtualTime-f.burst)
	}
	if it.resumed {
		f.waiting = slices.Insert(f.waiting, 0, it)
	} else {
		f.waiting = append(f.waiting, it)
	}
	rq.waiting++
}

// find returns the workspace's flow, or nil and the index at which to insert it.
func (rq *rankQueue) find(workspace string) (*flow, int) {
	i, ok := slices.BinarySearchFunc(rq.flows, workspace, func(f *flow, w string) int {
		return strings.Compare(f.workspace, w)
	})
	if !ok {
		return nil, i
	}
	return rq.flows[i], i
}

// waitingOf returns the number of waiting requests of a workspace.
func (rq *rankQueue) waitingOf(workspace string) int {
	if f, _ := rq.find(workspace); f != nil {
		return len(f.waiting)
	}
	return 0
}

func (rq *rankQueue) ensureFlow(it *item) *flow {
	f, i := rq.find(it.Workspace)
	if f == nil {
		f = &flow{workspace: it.Workspace, counter: math.Inf(-1)}
		rq.flows = slices.Insert(rq.flows, i, f)
	}
	f.weight = it.weight()
	return f
}

// remove removes a waiting item.
func (rq *rankQueue) remove(it *item) {
	f, _ := rq.find(it.Workspace)
	i := slices.Index(f.waiting, it)
	f.waiting = slices.Delete(f.waiting, i, i+1)
	rq.waiting--
	if rq.waiting == 0 {
		rq.floorCredit = math.Min(rq.floorCredit, 0)
	}
}

// charge adds tokens to the counter of an item's workspace.
func (rq *rankQueue) charge(it *item, tokens float64) {
	f, _ := rq.find(it.Workspace)
	f.counter += tokens / f.weight
}

// advanceVirtualTime raises the virtual time to the lowest counter of the active
// workspaces, or to the highest counter if no workspace is active.
func (rq *rankQueue) advanceVirtualTime() {
	lowest, highest, active := math.Inf(1), rq.virtualTime, false
	for _, f := range rq.flows {
		highest = math.Max(highest, f.counter)
		if len(f.waiting) > 0 || len(f.running) > 0 {
			lowest, active = math.Min(lowest, f.settledCounter()), true
		}
	}
	if !active {
		lowest = highest
	}
	rq.virtualTime = math.Max(rq.virtualTime, lowest)
}

// dropIdleFlows removes the flows of idle workspaces whose counters would be raised
// when they become active again.
func (rq *rankQueue) dropIdleFlows() {
	rq.advanceVirtualTime()
	rq.flows = slices.DeleteFunc(rq.flows, func(f *flow) bool {
		return len(f.waiting) == 0 && len(f.running) == 0 && f.counter <= rq.virtualTime-f.burst
	})
}

// lowestCounter returns the first waiting item of the workspace with the lowest
// counter.
func (rq *rankQueue) lowestCounter() *item {
	var best *flow
	for _, f := range rq.flows {
		if len(f.waiting) > 0 && (best == nil || f.counter < best.counter) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting[0]
}

// oldest returns the waiting item that arrived first.
func (rq *rankQueue) oldest() *item {
	var best *item
	for _, f := range rq.flows {
		if len(f.waiting) > 0 && (best == nil || f.waiting[0].sequence < best.sequence) {
			best = f.waiting[0]
		}
	}
	return best
}

// decayingSum is a sum that decays by half in each half-life.
type decayingSum struct {
	value float64
	at    time.Time
}

// useHalfLife is the half-life of the recent use of a rank.
const useHalfLife = 5 * time.Second

func (d *decayingSum) read(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now.Sub(d.at))/float64(useHalfLife))
}

func (d *decayingSum) add(now time.Time, v float64) {
	d.value = d.read(now) + v
	d.at = now
}
