package run

import (
	"bytes"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
)

// Limits bound the state that a Tracker retains.
type Limits struct {
	// GracePeriod is how long a run without a subscription continues, and how
	// long an acknowledged answer is retained, so that a retry can join it.
	GracePeriod time.Duration
	// AnswerRetention is how long an unacknowledged answer is retained.
	AnswerRetention time.Duration
	// MaxAnswers is the maximum number of retained answers.
	MaxAnswers int
	// MaxAnswerBytes bounds the memory of the retained answers.
	MaxAnswerBytes int
	// MaxOpen is the maximum number of queued and running requests.
	MaxOpen int
	// MaxUnsettled is the maximum number of bills that the ledger has not stored
	// yet, counting one for each open request.
	MaxUnsettled int
	// MaxAttempts is the maximum number of ended attempts of non-idempotent work
	// that are recorded.
	MaxAttempts int
	// AttemptRetention is the minimum time for which an ended attempt is recorded.
	AttemptRetention time.Duration
	// MaxFences is the maximum number of fenced idempotent requests that are
	// recorded.
	MaxFences int
	// FenceRetention is the minimum time for which a fenced idempotent request is
	// recorded.
	FenceRetention time.Duration
}

// DefaultLimits returns limits that suit a sidecar with little memory.
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

// Tracker tracks the requests of one sidecar incarnation. It is not safe for
// concurrent use.
type Tracker struct {
	server      string
	incarnation string
	limits      Limits

	lastRun          ID
	lastSubscription SubscriptionID
	runs             map[ID]*record
	subscriptions    map[SubscriptionID]*subscription
	byIdentity       map[identity]*record
	byRequestID      map[string]*record
	fencedEntries    map[string]bool
	attempts         attemptLog
	// fencedRequests records the fenced idempotent requests.
	fencedRequests attemptLog
	draining       bool
	// evictions are the actions of evicted answers, to be returned by Expire.
	evictions []Action
	// unsettled maps each run whose bill the ledger has not stored yet to its
	// payer, runByPayingRequest the paying request to the run.
	unsettled          map[ID]payer
	runByPayingRequest map[string]ID

	open          int
	retained      int
	retainedBytes int
}

// NewTracker returns an empty tracker for one sidecar incarnation.
func NewTracker(server, incarnation string, limits Limits) *Tracker {
	return &Tracker{
		server:             server,
		incarnation:        incarnation,
		limits:             limits,
		runs:               map[ID]*record{},
		subscriptions:      map[SubscriptionID]*subscription{},
		byIdentity:         map[identity]*record{},
		byRequestID:        map[string]*record{},
		fencedEntries:      map[string]bool{},
		unsettled:          map[ID]payer{},
		runByPayingRequest: map[string]ID{},
		attempts:           newAttemptLog(limits.MaxAttempts, limits.AttemptRetention),
		fencedRequests:     newAttemptLog(limits.MaxFences, limits.FenceRetention),
	}
}

// SetDraining sets whether new requests are refused. While draining, retries
// can still join existing runs.
func (t *Tracker) SetDraining(draining bool) {
	t.draining = draining
}

// Submit adds a request. The request joins the run of an earlier request with
// the same identity, or a new run is admitted. The error is a *refusal.Error;
// outcome "not run" means that this call started nothing.
func (t *Tracker) Submit(now time.Time, req Request) (Admission, error) {
	if err := t.validate(&req); err != nil {
		return Admission{}, err
	}
	rec := t.byIdentity[req.identity()]
	if other := t.byRequestID[req.ID]; other != nil && other != rec {
		return Admission{}, refusal.New(refusal.InvalidRequest, 0, "The request id names another request here.")
	}
	if rec != nil {
		return t.join(rec, req)
	}
	if !req.Idempotent {
		if err := t.attempts.checkUnused(req.attemptID()); err != nil {
			return Admission{}, err
		}
	}
	if req.JoinOnly {
		return Admission{}, refusal.New(refusal.NotFound, 0, "The request is not at this server.")
	}
	if err := t.ensureCapacity(now, &req); err != nil {
		return Admission{}, err
	}
	return t.admit(req), nil
}

func (t *Tracker) validate(req *Request) error {
	if t.fencedEntries[req.Hold.Holder] {
		return t.fencedError(req, "The entry's incarnation was fenced at this server.")
	}
	if req.Incarnation != "" && req.Incarnation != t.incarnation {
		return refusal.New(refusal.WrongIncarnation, 0, "The sidecar was restarted since the request was routed.")
	}
	if !req.Idempotent && (req.Key == "" || req.Attempt < 1 || req.Incarnation == "") {
		return refusal.New(refusal.InvalidRequest, 0,
			"Non-idempotent work needs a key, a registered attempt and the sidecar's incarnation.")
	}
	if req.ID == "" {
		return refusal.New(refusal.InvalidRequest, 0, "The request has no id.")
	}
	if t.fencedRequests.state(attemptID{requestID: req.ID}) == Fenced {
		return t.fencedError(req, "The request was fenced at this server.")
	}
	return nil
}

// fencedError returns the refusal of a fenced call. Its outcome is unknown if an
// earlier call submitted the same request.
func (t *Tracker) fencedError(req *Request, advice string) error {
	e := refusal.New(refusal.Fenced, 0, advice)
	if t.byIdentity[req.identity()] != nil {
		e.Outcome = refusal.Unknown
	}
	return e
}

// fullRetryAfter is the retry delay suggested when a limit is reached.
const fullRetryAfter = time.Second

// ensureCapacity returns the refusal of a new request that cannot be admitted. It
// evicts retained answers and old attempts if space is needed.
func (t *Tracker) ensureCapacity(now time.Time, req *Request) error {
	if t.draining {
		return refusal.New(refusal.Draining, 0, "The server is leaving: use another one.")
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return refusal.New(refusal.DeadlineExpired, 0, "The deadline passed before the request came.")
	}
	if t.open >= t.limits.MaxOpen || t.open+len(t.unsettled) >= t.limits.MaxUnsettled || !t.evictForCapacity() {
		return refusal.New(refusal.QueueFull, fullRetryAfter, "The server holds all the requests it can.")
	}
	if !req.Idempotent && !t.attempts.ensureCapacity(now) {
		return refusal.New(refusal.QueueFull, fullRetryAfter, "The server remembers all the attempts it can.")
	}
	return nil
}

func (t *Tracker) admit(req Request) Admission {
	t.lastRun++
	rec := &record{
		id:            t.lastRun,
		request:       req,
		state:         Queued,
		deadline:      req.Deadline,
		subscriptions: map[SubscriptionID]*subscription{},
	}
	if !req.Idempotent {
		rec.payer = payer{hold: req.Hold, requestID: req.ID}
	}
	t.runs[rec.id] = rec
	t.byIdentity[req.identity()] = rec
	t.open++
	return Admission{Run: rec.id, Subscription: t.openSubscription(rec, req), New: true}
}

func (t *Tracker) join(rec *record, req Request) (Admission, error) {
	if !bytes.Equal(rec.request.Digest, req.Digest) || rec.request.Idempotent != req.Idempotent {
		return Admission{}, refusal.New(refusal.KeyReused, 0,
			"The idempotency key was used with other content: use a new key.")
	}
	rec.deadline = laterDeadline(rec.deadline, req.Deadline)
	rec.unsubscribedAt = time.Time{}
	return Admission{Run: rec.id, Subscription: t.openSubscription(rec, req)}, nil
}

// laterDeadline returns the later of two deadlines. The zero value is none.
func laterDeadline(a, b time.Time) time.Time {
	switch {
	case a.IsZero() || b.IsZero():
		return time.Time{}
	case a.After(b):
		return a
	default:
		return b
	}
}

func (t *Tracker) openSubscription(rec *record, req Request) SubscriptionID {
	t.lastSubscription++
	sub := &subscription{id: t.lastSubscription, record: rec, requestID: req.ID, hold: req.Hold, replayed: rec.state == Ran}
	t.subscriptions[sub.id] = sub
	rec.subscriptions[sub.id] = sub
	if t.byRequestID[req.ID] == nil {
		t.byRequestID[req.ID] = rec
		rec.requestIDs = append(rec.requestIDs, req.ID)
	}
	return sub.id
}

// Request returns the request that started a run.
func (t *Tracker) Request(id ID) (Request, bool) {
	rec := t.runs[id]
	if rec == nil {
		return Request{}, false
	}
	return rec.request, true
}

// OpenCount returns the number of queued and running requests.
func (t *Tracker) OpenCount() int {
	return t.open
}

// SubscriptionCount returns the number of open subscriptions.
func (t *Tracker) SubscriptionCount() int {
	return len(t.subscriptions)
}

// UnsettledCount returns the number of bills that the ledger has not stored yet.
func (t *Tracker) UnsettledCount() int {
	return len(t.unsettled)
}

// StateOf returns the state of a run, or NotSeen if there is no such run.
func (t *Tracker) StateOf(id ID) State {
	if rec := t.runs[id]; rec != nil {
		return rec.state
	}
	return NotSeen
}
