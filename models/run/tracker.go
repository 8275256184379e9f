package run

import (
	"bytes"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
)

// Limits bound what a Book keeps.
type Limits struct {
	// GracePeriod is how long an interrupted request goes on, and an acknowledged
	// answer is kept, for a retry to pick it up.
	GracePeriod time.Duration
	// AnswerRetention is how long an answer that was not acknowledged is kept.
	AnswerRetention time.Duration
	// MaxAnswers is the number of finished answers kept.
	MaxAnswers int
	// MaxAnswerBytes bounds the memory of the finished answers kept.
	MaxAnswerBytes int
	// MaxOpen is the number of requests queued and running.
	MaxOpen int
	// MaxUnsettled is the number of bills that wait for the ledger.
	MaxUnsettled int
	// MaxAttempts is the number of ended attempts of non-idempotent work that are
	// remembered.
	MaxAttempts int
	// AttemptRetention is how long an ended attempt is remembered at least.
	AttemptRetention time.Duration
	// MaxFences is the number of fenced idempotent requests that are remembered.
	MaxFences int
	// FenceRetention is how long a fenced idempotent request is remembered at least.
	FenceRetention time.Duration
}

// DefaultLimits returns the limits of a sidecar with little memory.
func DefaultLimits() Limits {
	return Limits{
		GracePeriod:      5 * time.Second,
		AnswerRetention:  2 * time.Minute,
		MaxAnswers:       2048,
		MaxAnswerBytes:   8 << 20,
		MaxOpen:          4096,
		MaxUnsettled:     1 << 14,
		MaxAttempts:      1 << 16,
		AttemptRetention: 24 * time.Hour,
		MaxFences:        1 << 14,
		FenceRetention:   10 * time.Minute,
	}
}

// Tracker is the record of the requests at one sidecar. It is not safe for
// concurrent use.
type Tracker struct {
	server      string
	incarnation string
	limits      Limits

	lastRun   ID
	lastRelay SubscriptionID
	runs      map[ID]*record
	relays    map[SubscriptionID]*relay
	byID      map[identity]*record
	byRequest map[string]*record
	fenced    map[string]bool
	attempts  attemptLog
	// requests remembers the fenced idempotent requests.
	requests attemptLog
	draining bool
	evicted  []Action
	// unsettled maps the runs whose bill the ledger does not hold yet to who
	// pays, and owed the request whose hold pays to the run.
	unsettled map[ID]payer
	owed      map[string]ID

	open      int
	kept      int
	keptBytes int
}

// NewTracker returns the empty record of one sidecar incarnation.
func NewTracker(server, incarnation string, limits Limits) *Tracker {
	return &Tracker{
		server:      server,
		incarnation: incarnation,
		limits:      limits,
		runs:        map[ID]*record{},
		relays:      map[SubscriptionID]*relay{},
		byID:        map[identity]*record{},
		byRequest:   map[string]*record{},
		fenced:      map[string]bool{},
		unsettled:   map[ID]payer{},
		owed:        map[string]ID{},
		attempts:    newAttemptLog(limits.MaxAttempts, limits.AttemptRetention),
		requests:    newAttemptLog(limits.MaxFences, limits.FenceRetention),
	}
}

// SetDraining refuses all new requests from now on. Retries still join.
func (b *Tracker) SetDraining(draining bool) {
	b.draining = draining
}

// Submit takes a request. It joins the run of an earlier one with the same
// identity, or admits a new run. The error is a *refusal.Error: its outcome
// "not run" says that this call started nothing.
func (b *Tracker) Submit(now time.Time, req Request) (Admission, error) {
	if err := b.check(&req); err != nil {
		return Admission{}, err
	}
	rec := b.byID[req.identity()]
	if other := b.byRequest[req.ID]; other != nil && other != rec {
		return Admission{}, refusal.New(refusal.InvalidRequest, 0, "The request id names another request here.")
	}
	if rec != nil {
		return b.join(rec, req)
	}
	if !req.Idempotent {
		if err := b.attempts.check(req.attemptID()); err != nil {
			return Admission{}, err
		}
	}
	if req.JoinOnly {
		return Admission{}, refusal.New(refusal.NotFound, 0, "The request is not at this server.")
	}
	if err := b.room(now, &req); err != nil {
		return Admission{}, err
	}
	return b.admit(req), nil
}

func (b *Tracker) check(req *Request) error {
	if b.fenced[req.Hold.Holder] {
		return b.refuseFenced(req, "The entry's incarnation was fenced at this server.")
	}
	if req.Incarnation != "" && req.Incarnation != b.incarnation {
		return refusal.New(refusal.WrongIncarnation, 0, "The sidecar was restarted since the request was routed.")
	}
	if !req.Idempotent && (req.Key == "" || req.Attempt < 1 || req.Incarnation == "") {
		return refusal.New(refusal.InvalidRequest, 0,
			"Non-idempotent work needs a key, a registered attempt and the sidecar's incarnation.")
	}
	if req.ID == "" {
		return refusal.New(refusal.InvalidRequest, 0, "The request has no id.")
	}
	if b.requests.state(attemptID{requestID: req.ID}) == Fenced {
		return b.refuseFenced(req, "The request was fenced at this server.")
	}
	return nil
}

// refuseFenced refuses a call. The request may be here by an earlier one.
func (b *Tracker) refuseFenced(req *Request, advice string) error {
	e := refusal.New(refusal.Fenced, 0, advice)
	if b.byID[req.identity()] != nil {
		e.Outcome = refusal.Unknown
	}
	return e
}

// busyRetry is the time to come back when the record is full.
const busyRetry = time.Second

func (b *Tracker) room(now time.Time, req *Request) error {
	if b.draining {
		return refusal.New(refusal.Draining, 0, "The server is leaving: use another one.")
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return refusal.New(refusal.DeadlineExpired, 0, "The deadline passed before the request came.")
	}
	if b.open >= b.limits.MaxOpen || b.open+len(b.unsettled) >= b.limits.MaxUnsettled || !b.evict() {
		return refusal.New(refusal.QueueFull, busyRetry, "The server holds all the requests it can.")
	}
	if !req.Idempotent && !b.attempts.room(now) {
		return refusal.New(refusal.QueueFull, busyRetry, "The server remembers all the attempts it can.")
	}
	return nil
}

func (b *Tracker) admit(req Request) Admission {
	b.lastRun++
	rec := &record{
		id:       b.lastRun,
		request:  req,
		state:    Queued,
		deadline: req.Deadline,
		relays:   map[SubscriptionID]*relay{},
	}
	if !req.Idempotent {
		rec.payer = payer{hold: req.Hold, requestID: req.ID}
	}
	b.runs[rec.id] = rec
	b.byID[req.identity()] = rec
	b.open++
	return Admission{Run: rec.id, Subscription: b.openRelay(rec, req), New: true}
}

func (b *Tracker) join(rec *record, req Request) (Admission, error) {
	if !bytes.Equal(rec.request.Digest, req.Digest) || rec.request.Idempotent != req.Idempotent {
		return Admission{}, refusal.New(refusal.KeyReused, 0,
			"The idempotency key was used with other content: use a new key.")
	}
	if req.Deadline.After(rec.deadline) {
		rec.deadline = req.Deadline
	}
	rec.interrupted = time.Time{}
	return Admission{Run: rec.id, Subscription: b.openRelay(rec, req)}, nil
}

func (b *Tracker) openRelay(rec *record, req Request) SubscriptionID {
	b.lastRelay++
	r := &relay{id: b.lastRelay, record: rec, requestID: req.ID, hold: req.Hold, replayed: rec.state == Ran}
	b.relays[r.id] = r
	rec.relays[r.id] = r
	if b.byRequest[req.ID] == nil {
		b.byRequest[req.ID] = rec
		rec.requestIDs = append(rec.requestIDs, req.ID)
	}
	return r.id
}

// Request returns the request that began a run.
func (b *Tracker) Request(id ID) (Request, bool) {
	rec := b.runs[id]
	if rec == nil {
		return Request{}, false
	}
	return rec.request, true
}

// OpenCount returns the number of requests queued and running.
func (b *Tracker) OpenCount() int {
	return b.open
}

// SubscriptionCount returns the number of open relays.
func (b *Tracker) SubscriptionCount() int {
	return len(b.relays)
}

// UnsettledCount returns the number of bills that the ledger does not hold yet.
func (b *Tracker) UnsettledCount() int {
	return len(b.unsettled)
}

// StateOf returns the state of a run, NotSeen if it is not known.
func (b *Tracker) StateOf(id ID) State {
	if rec := b.runs[id]; rec != nil {
		return rec.state
	}
	return NotSeen
}
