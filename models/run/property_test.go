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

// maxSteps is the length of the longest interleaving.
const maxSteps = 120

// bookModel drives a Book at random and remembers what it said.
type bookModel struct {
	book *Tracker
	now  time.Time
	runs []ID
	open []SubscriptionID
	// requests are those of each run.
	requests map[ID]Request
	// handing holds, by relay, the hold that its last frame names.
	handing  map[SubscriptionID]ledger.Hold
	sequence uint64

	// charged are the runs with a bill, billed the holds in a bill, due the
	// bills that the ledger does not hold.
	charged map[ID]bool
	billed  map[ledger.Hold]bool
	due     []ID
	// fencedHolds can never be billed, fencedEntries neither.
	fencedHolds  map[string]bool
	settledEntry map[string]bool
	holdsOf      map[string][]ledger.Hold
	ranAttempts  map[attemptID]int
	notRun       map[attemptID]bool
	refused      map[int64]bool
}

func newBookModel() *bookModel {
	limits := DefaultLimits()
	limits.MaxAnswers, limits.MaxOpen = 4, 6
	return &bookModel{
		book: newTestBook(limits), now: start,
		requests: map[ID]Request{}, handing: map[SubscriptionID]ledger.Hold{},
		charged: map[ID]bool{}, billed: map[ledger.Hold]bool{},
		fencedHolds: map[string]bool{}, settledEntry: map[string]bool{}, holdsOf: map[string][]ledger.Hold{},
		ranAttempts: map[attemptID]int{}, notRun: map[attemptID]bool{}, refused: map[int64]bool{},
	}
}

// take records what the book asks for.
func (m *bookModel) take(t *rapid.T, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Charge:
			m.charge(t, a)
		case Disconnect:
			delete(m.handing, a.Subscription)
		case Cancel:
			if req := m.requests[a.Run]; !req.Idempotent && !a.Started {
				m.notRun[req.attemptID()] = true
			}
		case Discard:
		}
	}
}

func (m *bookModel) charge(t *rapid.T, c Charge) {
	bill := c.Entries[0].(ledger.Bill)
	if m.book.StateOf(c.Run) == Unresolved {
		t.Fatalf("run %d charged though its outcome is unknown", c.Run)
	}
	if m.charged[c.Run] {
		t.Fatalf("run %d charged twice", c.Run)
	}
	if m.billed[bill.Hold] || bill.Hold == (ledger.Hold{}) {
		t.Fatalf("hold %+v billed twice, or empty", bill.Hold)
	}
	if bill.Tokens > bill.Hold.Tokens {
		t.Fatalf("bill %+v passes its hold", bill)
	}
	if m.settledEntry[bill.Hold.Holder] {
		t.Fatalf("%s billed after it was settled", bill.Hold.Holder)
	}
	for id := range m.fencedHolds {
		for _, h := range m.holdsOf[id] {
			if h == bill.Hold {
				t.Fatalf("hold of fenced request %s billed", id)
			}
		}
	}
	m.charged[c.Run] = true
	m.billed[bill.Hold] = true
	m.due = append(m.due, c.Run)
}

// requestID draws the id of a draft or of a dispatched attempt.
func requestID(t *rapid.T) string {
	return rapid.SampledFrom([]string{"r1", "r2", "r3", "b1", "b2"}).Draw(t, "id")
}

// request draws a draft, or an attempt of a booking. Only the entry that
// registered an attempt dispatches it, and sends it again only if it was taken
// in. Others join it.
func (m *bookModel) request(t *rapid.T) Request {
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

func (m *bookModel) submit(t *rapid.T) {
	req := m.request(t)
	adm, err := m.book.Submit(m.now, req)
	if e, refused := refusal.As(err); refused {
		if !req.Idempotent && !req.JoinOnly && e.Outcome == refusal.NotRun {
			m.notRun[req.attemptID()] = true
			m.refused[req.Attempt] = true
		}
		return
	}
	if m.fencedHolds[req.ID] {
		t.Fatalf("fenced request %s accepted", req.ID)
	}
	m.holdsOf[req.ID] = append(m.holdsOf[req.ID], req.Hold)
	m.open = append(m.open, adm.Subscription)
	if adm.New {
		m.runs = append(m.runs, adm.Run)
		m.requests[adm.Run] = req
	}
}

func (m *bookModel) run(t *rapid.T) (ID, bool) {
	if len(m.runs) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(m.runs).Draw(t, "run"), true
}

func (m *bookModel) start(t *rapid.T) {
	id, ok := m.run(t)
	if !ok || !m.book.Start(id) {
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
		t.Fatalf("attempt %+v ran after it was said not to", attempt)
	}
}

func (m *bookModel) finish(t *rapid.T) {
	if id, ok := m.run(t); ok && m.book.StateOf(id) == Running {
		m.take(t, m.book.Finish(m.now, id, Result{PromptTokens: 3, OutputTokens: 4, MemoryBytes: 9}))
	}
}

func (m *bookModel) fail(t *rapid.T) {
	id, ok := m.run(t)
	if !ok {
		return
	}
	outcome := refusal.Unknown
	if m.book.StateOf(id) == Queued {
		outcome = refusal.NotRun
		if req := m.requests[id]; !req.Idempotent {
			m.notRun[req.attemptID()] = true
		}
	}
	m.book.Fail(m.now, id, outcome)
}

func (m *bookModel) handOver(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	id := rapid.SampledFrom(m.open).Draw(t, "relay")
	h, ok := m.book.PrepareFinalFrame(id)
	if !ok {
		return
	}
	if h.Hold == (ledger.Hold{}) {
		t.Fatal("handover without a hold that pays")
	}
	m.handing[id] = h.Hold
}

func (m *bookModel) closeRelay(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "relay")
	id := m.open[i]
	m.open = append(m.open[:i], m.open[i+1:]...)
	told, handing := m.handing[id]
	delete(m.handing, id)
	actions := m.book.CloseSubscription(m.now, id, handing && rapid.Bool().Draw(t, "handed"))
	for _, bill := range bills(actions) {
		if bill.Hold != told {
			t.Fatalf("hold %+v billed, but the last frame named %+v", bill.Hold, told)
		}
	}
	m.take(t, actions)
}

func (m *bookModel) settle(*rapid.T) {
	if len(m.due) > 0 {
		m.book.MarkSettled(m.due[0])
		m.due = m.due[1:]
	}
}

func (m *bookModel) acknowledge(t *rapid.T) {
	m.book.Acknowledge(m.now, requestID(t))
}

func (m *bookModel) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	m.take(t, m.book.Expire(m.now))
}

func (m *bookModel) fenceAttempt(t *rapid.T) {
	name := RequestRef{Workspace: "clinic", Key: "booking", Attempt: rapid.Int64Range(1, 2).Draw(t, "attempt")}
	state, actions, err := m.book.Inquire(m.now, name, true)
	m.take(t, actions)
	if err == nil && state == Fenced {
		m.notRun[attemptID{workspace: name.Workspace, key: name.Key, attempt: name.Attempt}] = true
	}
}

func (m *bookModel) fenceRequest(t *rapid.T) {
	id := requestID(t)
	state, actions, err := m.book.Inquire(m.now, RequestRef{RequestID: id}, true)
	m.take(t, actions)
	if err != nil || state != Fenced {
		return
	}
	m.fencedHolds[id] = true
	for _, run := range m.due {
		if p, owed := m.book.unsettled[run]; owed && p.requestID == id {
			t.Fatalf("%s fenced while its bill is owed", id)
		}
	}
}

func (m *bookModel) fenceEntry(t *rapid.T) {
	entry := rapid.SampledFrom([]string{"entry/a", "entry/b"}).Draw(t, "entry")
	if !rapid.Bool().Draw(t, "fence") {
		return
	}
	settled, actions := m.book.FenceEntry(m.now, entry)
	m.take(t, actions)
	if !settled {
		return
	}
	m.settledEntry[entry] = true
	for _, run := range m.due {
		if m.book.unsettled[run].hold.Holder == entry {
			t.Fatalf("%s settled while the bill of run %d is owed", entry, run)
		}
	}
}

// check holds the counters against the records.
func (m *bookModel) check(t *rapid.T) {
	open, kept := 0, 0
	for _, rec := range m.book.runs {
		if rec.done() {
			kept++
		} else {
			open++
		}
	}
	if open != m.book.OpenCount() || kept != m.book.kept || len(m.due) != m.book.UnsettledCount() {
		t.Fatalf("book counts %d open, %d kept, %d unsettled, want %d, %d, %d",
			m.book.OpenCount(), m.book.kept, m.book.UnsettledCount(), open, kept, len(m.due))
	}
}

// TestMain gives the property test a seed and enough checks, unless the command
// line says otherwise.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "10000", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestBookUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newBookModel()
		actions := []func(*rapid.T){
			m.submit, m.submit, m.submit, m.start, m.start, m.finish, m.finish, m.fail,
			m.handOver, m.handOver, m.closeRelay, m.closeRelay, m.settle, m.acknowledge,
			m.advance, m.fenceAttempt, m.fenceRequest, m.fenceRequest, m.fenceEntry,
		}
		for range rapid.IntRange(1, maxSteps).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")(t)
			m.check(t)
		}
	})
}
