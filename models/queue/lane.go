package queue

import (
	"math"
	"slices"
	"strings"
	"time"
)

// lane holds the requests of one rank.
type lane struct {
	floor     float64
	waitLimit time.Duration
	// flows is sorted by workspace, so that sums over it are reproducible.
	flows   []*flow
	waiting int
	// virtual is the lowest counter of the workspaces that wait or run. One that
	// comes back from idle starts little below, so it has saved up no more.
	virtual float64
	// credit is what the rank is owed of its floor, in tokens.
	credit float64
	// use is the recent share of the service that went to this rank.
	use decayed
	// returns is when the last caller refused was told to come back.
	returns time.Time
}

// flow holds the requests of one workspace in one rank.
type flow struct {
	workspace string
	counter   float64
	weight    float64
	// saved is how far the counter may lie below the virtual time.
	saved   float64
	waiting []*item
	running []*item
}

// settled is the counter less what running items are charged but did not yet
// use.
func (f *flow) settled() float64 {
	var pending float64
	for _, it := range f.running {
		pending += it.charged - it.used()
	}
	return f.counter - pending/f.weight
}

// holding is how many slots the workspace holds for its weight, or would hold
// with some more.
func (f *flow) holding(more int) float64 { return float64(len(f.running)+more) / f.weight }

// savedRequests is how many requests' worth of service a workspace that asked
// for little may save up.
const savedRequests = 2

// join puts an item that will cost some tokens at the back of its workspace's
// flow, or at the front when it was displaced.
func (l *lane) join(it *item, cost float64) {
	l.advance()
	f := l.flow(it)
	if len(f.waiting) == 0 && !it.resumed {
		f.saved = savedRequests * cost / f.weight
		f.counter = math.Max(f.counter, l.virtual-f.saved)
	}
	if it.resumed {
		f.waiting = slices.Insert(f.waiting, 0, it)
	} else {
		f.waiting = append(f.waiting, it)
	}
	l.waiting++
}

// find returns the workspace's flow, or nil and where it belongs.
func (l *lane) find(workspace string) (*flow, int) {
	i, ok := slices.BinarySearchFunc(l.flows, workspace, func(f *flow, w string) int {
		return strings.Compare(f.workspace, w)
	})
	if !ok {
		return nil, i
	}
	return l.flows[i], i
}

// waitingOf counts the waiting requests of a workspace.
func (l *lane) waitingOf(workspace string) int {
	if f, _ := l.find(workspace); f != nil {
		return len(f.waiting)
	}
	return 0
}

func (l *lane) flow(it *item) *flow {
	f, i := l.find(it.Workspace)
	if f == nil {
		f = &flow{workspace: it.Workspace, counter: math.Inf(-1)}
		l.flows = slices.Insert(l.flows, i, f)
	}
	f.weight = it.weight()
	return f
}

// remove takes a waiting item out.
func (l *lane) remove(it *item) {
	f, _ := l.find(it.Workspace)
	i := slices.Index(f.waiting, it)
	f.waiting = slices.Delete(f.waiting, i, i+1)
	l.waiting--
	if l.waiting == 0 {
		l.credit = math.Min(l.credit, 0)
	}
}

// charge puts tokens on the counter of an item's workspace.
func (l *lane) charge(it *item, tokens float64) {
	f, _ := l.find(it.Workspace)
	f.counter += tokens / f.weight
}

// advance moves the virtual time up to the lowest counter in use, or past all
// when the rank is idle.
func (l *lane) advance() {
	lowest, highest, active := math.Inf(1), l.virtual, false
	for _, f := range l.flows {
		highest = math.Max(highest, f.counter)
		if len(f.waiting) > 0 || len(f.running) > 0 {
			lowest, active = math.Min(lowest, f.settled()), true
		}
	}
	if !active {
		lowest = highest
	}
	l.virtual = math.Max(l.virtual, lowest)
}

// sweep drops idle workspaces whose counters would be lifted on their return.
func (l *lane) sweep() {
	l.advance()
	l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool {
		return len(f.waiting) == 0 && len(f.running) == 0 && f.counter <= l.virtual-f.saved
	})
}

// fairest returns the item of the workspace with the lowest counter.
func (l *lane) fairest() *item {
	var best *flow
	for _, f := range l.flows {
		if len(f.waiting) > 0 && (best == nil || f.counter < best.counter) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting[0]
}

// oldest returns the item that arrived first.
func (l *lane) oldest() *item {
	var best *item
	for _, f := range l.flows {
		if len(f.waiting) > 0 && (best == nil || f.waiting[0].arrival < best.arrival) {
			best = f.waiting[0]
		}
	}
	return best
}

// decayed is a sum that halves with each half-life.
type decayed struct {
	value float64
	at    time.Time
}

// useHalfLife is how fast the share of service by rank is forgotten.
const useHalfLife = 5 * time.Second

func (d *decayed) read(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now.Sub(d.at))/float64(useHalfLife))
}

func (d *decayed) add(now time.Time, v float64) {
	d.value = d.read(now) + v
	d.at = now
}
