package run

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
)

// maxSteps is the maximum number of steps in one interleaving.
const maxSteps = 120

// trackerModel makes random calls to a Tracker and checks the results against the
// earlier ones.
type trackerModel struct {
	tracker       *Tracker
	now           time.Time
	runs          []ID
	subscriptions []SubscriptionID
	// requests holds the request that started each run.
	requests map[ID]Request
	// payingHold is the hold in the final frame of each subscription.
	payingHold map[SubscriptionID]ledger.Hold
	sequence   uint64

	// charged holds the runs with a bill, billed the holds that were charged and
	// unsettled the runs whose bill the ledger has not stored.
	charged   map[ID]bool
	billed    map[ledger.Hold]bool
	unsettled []ID
	// The holds of fencedRequests and settledEntries must not be billed any more.
	fencedRequests map[string]bool
	settledEntries map[string]bool
	// holdsOf lists the holds submitted with each request id.
	holdsOf     map[string][]ledger.Hold
	ranAttempts map[attemptID]int
	// notRun holds the attempts that were reported as not run.
	notRun map[attemptID]bool
	// refused holds the attempts whose submission was refused as not run.
	refused map[int64]bool
}

func newTrackerModel() *trackerModel {
	limits := DefaultLimits()
	limits.MaxAnswers, limits.MaxOpen = 4, 6
	return &trackerModel{
		tracker: newTestTracker(limits), now: start,
		requests: map[ID]Request{}, payingHold: map[SubscriptionID]ledger.Hold{},
		charged: map[ID]bool{}, billed: map[ledger.Hold]bool{},
		fencedRequests: map[string]bool{}, settledEntries: map[string]bool{}, holdsOf: map[string][]ledger.Hold{},
		ranAttempts: map[attemptID]int{}, notRun: map[attemptID]bool{}, refused: map[int64]bool{},
	}
}

// apply checks and records the actions of the tracker.
func (m *trackerModel) apply(t *rapid.T, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Charge:
			m.charge(t, a)
		case Disconnect:
			delete(m.payingHold, a.Subscription)
		case Cancel:
			if req := m.requests[a.Run]; !req.Idempotent && !a.Started {
				m.notRun[req.attemptID()] = true
			}
		case Discard:
		}
	}
}

func (m *trackerModel) charge(t *rapid.T, c Charge) {
	bill := c.Entries[0].(ledger.Bill)
	if m.tracker.StateOf(c.Run) == Unresolved {
		t.Fatalf("run %d charged though its outcome is unknown", c.Run)
	}
	if m.charged[c.Run] {
		t.Fatalf("run %d charged twice", c.Run)
	}
	if m.billed[bill.Hold] || bill.Hold == (ledger.Hold{}) {
		t.Fatalf("hold %+v billed twice, or empty", bill.Hold)
	}
	if bill.Tokens > bill.Hold.Tokens {
		t.Fatalf("bill %+v exceeds its hold", bill)
	}
	if m.settledEntries[bill.Hold.Holder] {
		t.Fatalf("%s billed after it was settled", bill.Hold.Holder)
	}
	for id := range m.fencedRequests {
		for _, h := range m.holdsOf[id] {
			if h == bill.Hold {
				t.Fatalf("hold of fenced request %s billed", id)
			}
		}
	}
	m.charged[c.Run] = true
	m.billed[bill.Hold] = true
	m.unsettled = append(m.unsettled, c.Run)
}

// drawRequestID draws the id of a draft or of a dispatched attempt.
func drawRequestID(t *rapid.T) string {
	return rapid.SampledFrom([]string{"r1", "r2", "r3", "b1", "b2"}).Draw(t, "id")
}

// drawRequest draws a draft, or an attempt of a booking. Only the entry that
// registered an attempt submits it, and repeats it only if it was not refused.
// All other requests for the attempt are JoinOnly.
func (m *trackerModel) drawRequest(t *rapid.T) Request {
	m.sequence++
	key := rapid.SampledFrom([]string{"", "k1", "booking"}).Draw(t, "key")
	entry := rapid.SampledFrom([]string{"entry/a", "entry/b"}).Draw(t, "entry")
	req := draft(fmt.Sprint("r", rapid.IntRange(1, 3).Draw(t, "number")), key, entry, m.sequence)
	if key == "booking" {
		attempt := rapid.Int64Range(1, 2).Draw(t, "attempt")
		req = booking(req.ID, key, entry, attempt)
		req.Hold.Sequence = m.sequence
		req.JoinOnly = m.refused[attempt] || rapid.Bool().Draw(t, "joinOnly")
		if !req.JoinOnly {
			req.ID = fmt.Sprint("b", attempt)
			req.Hold.Holder = []string{"entry/a", "entry/b"}[attempt-1]
		}
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		req.Deadline = m.now.Add(3 * time.Second)
	}
	return req
}

func (m *trackerModel) submit(t *rapid.T) {
	req := m.drawRequest(t)
	adm, err := m.tracker.Submit(m.now, req)
	if e, refused := refusal.As(err); refused {
		if !req.Idempotent && !req.JoinOnly && e.Outcome == refusal.NotRun {
			m.notRun[req.attemptID()] = true
			m.refused[req.Attempt] = true
		}
		return
	}
	if m.fencedRequests[req.ID] {
		t.Fatalf("fenced request %s accepted", req.ID)
	}
	m.holdsOf[req.ID] = append(m.holdsOf[req.ID], req.Hold)
	m.subscriptions = append(m.subscriptions, adm.Subscription)
	if adm.New {
		m.runs = append(m.runs, adm.Run)
		m.requests[adm.Run] = req
	}
}

func (m *trackerModel) drawRun(t *rapid.T) (ID, bool) {
	if len(m.runs) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(m.runs).Draw(t, "run"), true
}

func (m *trackerModel) start(t *rapid.T) {
	id, ok := m.drawRun(t)
	if !ok || !m.tracker.Start(id) {
		return
	}
	req := m.requests[id]
	if req.Idempotent {
		return
	}
	attempt := req.attemptID()
	m.ranAttempts[attempt]++
	if m.ranAttempts[attempt] > 1 {
		t.Fatalf("attempt %+v ran twice", attempt)
	}
	if m.notRun[attempt] {
		t.Fatalf("attempt %+v ran after it was reported as not run", attempt)
	}
}

func (m *trackerModel) finish(t *rapid.T) {
	if id, ok := m.drawRun(t); ok && m.tracker.StateOf(id) == Running {
		m.apply(t, m.tracker.Finish(m.now, id, Result{PromptTokens: 3, OutputTokens: 4, MemoryBytes: 9}))
	}
}

func (m *trackerModel) fail(t *rapid.T) {
	id, ok := m.drawRun(t)
	if !ok {
		return
	}
	outcome := refusal.Unknown
	if m.tracker.StateOf(id) == Queued {
		outcome = refusal.NotRun
		if req := m.requests[id]; !req.Idempotent {
			m.notRun[req.attemptID()] = true
		}
	}
	m.tracker.Fail(m.now, id, outcome)
}

func (m *trackerModel) prepareFinalFrame(t *rapid.T) {
	if len(m.subscriptions) == 0 {
		return
	}
	id := rapid.SampledFrom(m.subscriptions).Draw(t, "subscription")
	frame, ok := m.tracker.PrepareFinalFrame(id)
	if !ok {
		return
	}
	if frame.Hold == (ledger.Hold{}) {
		t.Fatal("final frame without a paying hold")
	}
	m.payingHold[id] = frame.Hold
}

func (m *trackerModel) closeSubscription(t *rapid.T) {
	if len(m.subscriptions) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.subscriptions)-1).Draw(t, "subscription")
	id := m.subscriptions[i]
	m.subscriptions = append(m.subscriptions[:i], m.subscriptions[i+1:]...)
	hold, prepared := m.payingHold[id]
	delete(m.payingHold, id)
	actions := m.tracker.CloseSubscription(m.now, id, prepared && rapid.Bool().Draw(t, "delivered"))
	for _, bill := range bills(actions) {
		if bill.Hold != hold {
			t.Fatalf("hold %+v billed, but the final frame contained %+v", bill.Hold, hold)
		}
	}
	m.apply(t, actions)
}

func (m *trackerModel) markSettled(*rapid.T) {
	if len(m.unsettled) > 0 {
		m.tracker.MarkSettled(m.unsettled[0])
		m.unsettled = m.unsettled[1:]
	}
}

func (m *trackerModel) acknowledge(t *rapid.T) {
	m.tracker.Acknowledge(m.now, drawRequestID(t))
}

func (m *trackerModel) expire(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	m.apply(t, m.tracker.Expire(m.now))
}

func (m *trackerModel) fenceAttempt(t *rapid.T) {
	ref := RequestRef{Workspace: "clinic", Key: "booking", Attempt: rapid.Int64Range(1, 2).Draw(t, "attempt")}
	state, actions, err := m.tracker.Inquire(m.now, ref, true)
	m.apply(t, actions)
	if err == nil && state == Fenced {
		m.notRun[attemptID{workspace: ref.Workspace, key: ref.Key, attempt: ref.Attempt}] = true
	}
}

func (m *trackerModel) fenceRequest(t *rapid.T) {
	id := drawRequestID(t)
	state, actions, err := m.tracker.Inquire(m.now, RequestRef{RequestID: id}, true)
	m.apply(t, actions)
	if err != nil || state != Fenced {
		return
	}
	m.fencedRequests[id] = true
	for _, run := range m.unsettled {
		if p, unsettled := m.tracker.unsettled[run]; unsettled && p.requestID == id {
			t.Fatalf("%s fenced while its bill is unsettled", id)
		}
	}
}

func (m *trackerModel) fenceEntry(t *rapid.T) {
	entry := rapid.SampledFrom([]string{"entry/a", "entry/b"}).Draw(t, "entry")
	if !rapid.Bool().Draw(t, "fence") {
		return
	}
	settled, actions := m.tracker.FenceEntry(m.now, entry)
	m.apply(t, actions)
	if !settled {
		return
	}
	m.settledEntries[entry] = true
	for _, run := range m.unsettled {
		if m.tracker.unsettled[run].hold.Holder == entry {
			t.Fatalf("%s settled while the bill of run %d is unsettled", entry, run)
		}
	}
}

// checkCounts compares the counters of the tracker with its runs.
func (m *trackerModel) checkCounts(t *rapid.T) {
	open, retained := 0, 0
	for _, rec := range m.tracker.runs {
		if rec.done() {
			retained++
		} else {
			open++
		}
	}
	if open != m.tracker.OpenCount() || retained != m.tracker.retained || len(m.unsettled) != m.tracker.UnsettledCount() {
		t.Fatalf("tracker has %d open, %d retained, %d unsettled, want %d, %d, %d",
			m.tracker.OpenCount(), m.tracker.retained, m.tracker.UnsettledCount(), open, retained, len(m.unsettled))
	}
}

// TestMain sets the defaults of the flags for the seed and the number of checks of
// the property test.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "10000", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestTrackerUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTrackerModel()
		actions := []func(*rapid.T){
			m.submit, m.submit, m.submit, m.start, m.start, m.finish, m.finish, m.fail,
			m.prepareFinalFrame, m.prepareFinalFrame, m.closeSubscription, m.closeSubscription, m.markSettled, m.acknowledge,
			m.expire, m.fenceAttempt, m.fenceRequest, m.fenceRequest, m.fenceEntry,
		}
		for range rapid.IntRange(1, maxSteps).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")(t)
			m.checkCounts(t)
		}
	})
}
