package queue

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
)

// minReturn is the least time a refused caller is told to stay away.
const minReturn = 250 * time.Millisecond

// DuplicateError says that a request with this id is already in the queue.
type DuplicateError struct{ ID string }

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("request %q is already in the queue", e.ID)
}

// Queue is the queue in front of one backend server.
type Queue struct {
	slots       int
	limit       int
	kindShare   float64
	kindShares  map[string]float64
	tokenTime   time.Duration
	preemptFrom rank.Rank
	order       Order
	predict     bool
	slotShares  bool

	lanes      [rank.Count]*lane
	items      map[string]*item
	running    []*item
	estimators map[string]*estimator
	// present counts the requests of each kind, waiting or running.
	present  map[string]int
	arrivals uint64
	expiry   time.Time
	draining bool
}

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{
		slots:       DefaultSlots,
		limit:       DefaultQueueLength,
		kindShare:   DefaultKindShare,
		kindShares:  map[string]float64{},
		tokenTime:   DefaultTimePerToken,
		preemptFrom: rank.Urgent,
		predict:     true,
		slotShares:  true,
		items:       map[string]*item{},
		estimators:  map[string]*estimator{},
		present:     map[string]int{},
	}
	for r := range q.lanes {
		q.lanes[r] = &lane{}
	}
	q.lanes[rank.Urgent].waitLimit = DefaultUrgentWaitLimit
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Enqueue takes a request in or refuses it at once, with a *refusal.Error that
// says when to come back. A request taken in starts with a later Next.
func (q *Queue) Enqueue(now time.Time, r Request) (Decision, error) {
	if q.draining {
		return Decision{}, refusal.New(refusal.Draining, 0, "send the request to another server")
	}
	if _, taken := q.items[r.ID]; taken {
		return Decision{}, &DuplicateError{ID: r.ID}
	}
	it := &item{Request: r, expect: q.estimator(r.Kind)}
	wait, err := q.admit(now, it)
	if err != nil {
		return Decision{}, err
	}
	q.arrivals++
	it.arrival = q.arrivals
	it.startBy = q.startBy(now, it)
	q.items[it.ID] = it
	q.present[it.Kind]++
	q.join(it)
	return Decision{PredictedWait: wait, StartBy: it.startBy}, nil
}

func (q *Queue) join(it *item) {
	q.lanes[it.Rank].join(it, q.cost(it))
	if !it.startBy.IsZero() && (q.expiry.IsZero() || it.startBy.Before(q.expiry)) {
		q.expiry = it.startBy
	}
}

// RecordTokens says that a running request generated n more tokens.
func (q *Queue) RecordTokens(id string, n int64) {
	it := q.items[id]
	if it == nil {
		return
	}
	it.served += n
	if used := it.used(); used > it.charged {
		q.charge(it, used-it.charged)
	}
}

// Finish ends a request whose answer is whole.
func (q *Queue) Finish(now time.Time, id string) {
	it := q.items[id]
	if it == nil {
		return
	}
	if it.running {
		it.expect.learn(it, it.elapsed+now.Sub(it.started))
	}
	q.leave(now, it)
}

// Cancel ends a request whose answer nobody wants or that failed.
func (q *Queue) Cancel(now time.Time, id string) {
	if it := q.items[id]; it != nil {
		q.leave(now, it)
	}
}

// leave takes an item out, wherever it is.
func (q *Queue) leave(now time.Time, it *item) {
	if it.running {
		q.release(now, it)
	} else {
		q.lanes[it.Rank].remove(it)
	}
	delete(q.items, it.ID)
	if q.present[it.Kind]--; q.present[it.Kind] == 0 {
		delete(q.present, it.Kind)
	}
	q.lanes[it.Rank].sweep()
}

// release frees the slot of a running item and takes back the charges for what
// it did not use.
func (q *Queue) release(now time.Time, it *item) {
	q.running = slices.DeleteFunc(q.running, func(o *item) bool { return o == it })
	ran := now.Sub(it.started)
	it.running = false
	it.elapsed += ran
	l := q.lanes[it.Rank]
	f, _ := l.find(it.Workspace)
	f.running = slices.DeleteFunc(f.running, func(o *item) bool { return o == it })
	q.charge(it, it.used()-it.charged)
	l.booked -= it.booked
	q.pay(it, ran)
}

// charge puts tokens on the counter of an item's workspace, or takes them back
// when negative.
func (q *Queue) charge(it *item, tokens float64) {
	it.charged += tokens
	q.lanes[it.Rank].charge(it, tokens)
}

// pay takes run time from the credit of an item's rank; the other ranks that
// wait earn their floor of it. Floors go by run time, not by tokens, since a
// token of a resumed request costs a slot more time than one of a prompt.
func (q *Queue) pay(it *item, ran time.Duration) {
	own := q.lanes[it.Rank]
	for _, l := range q.lanes {
		if l.waiting > 0 {
			l.credit += l.floor * float64(ran)
		}
	}
	before := own.credit
	own.credit -= float64(ran)
	if !it.protected {
		// A rank that used what others left owes no more than its floor of a short
		// time.
		limit := -own.floor * float64(q.slots) * float64(floorWindow)
		own.credit = math.Max(own.credit, math.Min(before, limit))
	}
}

// floorWindow is the time over which a rank that got more than its floor has to
// make up for it.
const floorWindow = 3 * time.Second

// Drain refuses new requests from now on and hands back those that never
// started. Displaced requests stay and run to their end.
func (q *Queue) Drain(now time.Time) []Action {
	q.draining = true
	var actions []Action
	for _, it := range q.waiting() {
		if !it.resumed {
			q.leave(now, it)
			err := refusal.New(refusal.Draining, 0, "send the request to another server")
			actions = append(actions, Expire{ID: it.ID, Err: err})
		}
	}
	return actions
}

// Reopen takes new requests again after a Drain.
func (q *Queue) Reopen() { q.draining = false }

// waiting lists the waiting items, by rank and workspace.
func (q *Queue) waiting() []*item {
	var all []*item
	for _, l := range q.lanes {
		for _, f := range l.flows {
			all = append(all, f.waiting...)
		}
	}
	return all
}
