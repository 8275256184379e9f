// Package once registers attempts of work that must run at most once.
//
// An attempt is registered before it starts, under an idempotency key chosen by its
// requester. The next attempt of a key can be registered only after the previous one
// was voided. An attempt may be voided only if it is certain that it has not run and
// will not run. The Registry is a deterministic state machine: replicas that apply
// the same log reach the same state.
package once

import (
	"bytes"
	"slices"
	"strings"
	"time"
)

//go:generate stringer -type=Status,Effect -linecomment -output=once_string.go

// Status is the status of an attempt.
type Status int

// Values of Status. A Registered attempt may have run, a Ran attempt has run, and a
// Voided attempt has not run and will not run.
const (
	Registered Status = iota // registered
	Ran                      // ran
	Voided                   // void
)

// Effect is the effect of a change on the registry.
type Effect int

// Values of Effect.
const (
	Applied Effect = iota // applied
	// Ignored means that the change is not valid for the key's latest attempt.
	Ignored // ignored
	// Conflict means that the key is registered for other work.
	Conflict // conflict
	// Expired means that the key is older than the retention, so that an earlier
	// attempt of it may have run and been deleted.
	Expired // expired
)

// DefaultRetention is the default of WithRetention.
const DefaultRetention = 24 * time.Hour

// MaxClockSkew is the maximum time by which a clock that timestamps keys may be ahead
// of the log's clock. Keys are kept for this time beyond the retention.
const MaxClockSkew = 5 * time.Minute

// Attempt is the latest attempt of a key.
type Attempt struct {
	// ID is the unique ID of the registration call.
	ID string `json:"id"`
	// Number counts the attempts of the key, from 1.
	Number int64 `json:"number"`
	// Digest is a digest of the work.
	Digest []byte `json:"digest"`
	// KeyCreatedAt is the time at which the key was created, or zero if unknown. A
	// key without an attempt can be registered only within the retention after its
	// creation, because later an earlier attempt may have been deleted. If the time
	// is unknown, the key is accepted, and the requester must not use it after the
	// retention.
	KeyCreatedAt time.Time `json:"-"`
	// Requester is the only process that may start the attempt.
	Requester string `json:"requester"`
	// Runner is the only process that may run the attempt.
	Runner string `json:"runner"`
	// Place is where the runner runs the attempt, for example its server.
	Place        string    `json:"place"`
	Status       Status    `json:"status"`
	Result       []byte    `json:"result,omitempty"`
	ResultStored bool      `json:"kept"`
	UpdatedAt    time.Time `json:"at"`
}

// keyUpdate is the log time of one change of a key.
type keyUpdate struct {
	key string
	at  time.Time
}

// Registry holds the latest attempt of each key.
type Registry struct {
	retention time.Duration
	attempts  map[string]*Attempt
	// updates lists the changes that have not expired, the oldest first.
	updates []keyUpdate
}

// Option configures a Registry.
type Option func(*Registry)

// WithRetention sets the log time for which a key is kept after its last change.
func WithRetention(d time.Duration) Option {
	return func(r *Registry) { r.retention = d }
}

// New returns an empty registry.
func New(opts ...Option) *Registry {
	r := &Registry{retention: DefaultRetention, attempts: map[string]*Attempt{}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Get returns the latest attempt of a key.
func (r *Registry) Get(key string) (Attempt, bool) {
	a := r.attempts[key]
	if a == nil {
		return Attempt{}, false
	}
	return *a, true
}

// Len returns the number of keys in the registry.
func (r *Registry) Len() int { return len(r.attempts) }

// Register registers an attempt if its number is the next one of the key.
func (r *Registry) Register(now time.Time, key string, a Attempt) Effect {
	r.expireKeys(now)
	latest := r.attempts[key]
	switch {
	case latest == nil && a.Number != 1:
		return Ignored
	case latest == nil && r.creationExpired(now, a.KeyCreatedAt):
		return Expired
	case latest == nil:
	case !bytes.Equal(latest.Digest, a.Digest):
		return Conflict
	case latest.Status != Voided || a.Number != latest.Number+1:
		return Ignored
	}
	a.Status = Registered
	a.Result, a.ResultStored = nil, false
	r.set(now, key, &a)
	return Applied
}

// Finish records that an attempt has run. The result is available later only if
// resultStored is set.
func (r *Registry) Finish(now time.Time, key string, number int64, result []byte, resultStored bool) Effect {
	r.expireKeys(now)
	a := r.attempts[key]
	if a == nil || a.Number != number || a.Status != Registered {
		return Ignored
	}
	a.Status = Ran
	a.Result, a.ResultStored = result, resultStored
	r.set(now, key, a)
	return Applied
}

// Void records that an attempt has not run and will not run.
func (r *Registry) Void(now time.Time, key string, number int64) Effect {
	r.expireKeys(now)
	a := r.attempts[key]
	if a == nil || a.Number != number || a.Status != Registered {
		return Ignored
	}
	a.Status = Voided
	r.set(now, key, a)
	return Applied
}

// creationExpired reports whether the creation time of a key is outside the accepted
// range. If it is too old, an earlier attempt of the key may have been deleted. If it
// is too far in the future, a new attempt may be deleted while the key can still be
// registered.
func (r *Registry) creationExpired(now, createdAt time.Time) bool {
	if createdAt.IsZero() {
		return false
	}
	age := now.Sub(createdAt)
	return age > r.retention || age < -MaxClockSkew
}

// set stores the latest attempt of a key.
func (r *Registry) set(now time.Time, key string, a *Attempt) {
	a.UpdatedAt = now.UTC()
	r.attempts[key] = a
	r.updates = append(r.updates, keyUpdate{key: key, at: a.UpdatedAt})
}

// expireKeys deletes the keys whose last change is older than the retention.
func (r *Registry) expireKeys(now time.Time) {
	n := 0
	for n < len(r.updates) && now.Sub(r.updates[n].at) > r.retention+MaxClockSkew {
		u := r.updates[n]
		if a := r.attempts[u.key]; a != nil && a.UpdatedAt.Equal(u.at) {
			delete(r.attempts, u.key)
		}
		n++
	}
	r.updates = r.updates[n:]
}

// Snapshot returns the latest attempts by key.
func (r *Registry) Snapshot() map[string]Attempt {
	all := make(map[string]Attempt, len(r.attempts))
	for key, a := range r.attempts {
		all[key] = *a
	}
	return all
}

// Restore sets the registry to the state of a Snapshot.
func (r *Registry) Restore(all map[string]Attempt) {
	r.attempts = make(map[string]*Attempt, len(all))
	r.updates = r.updates[:0]
	for key, a := range all {
		r.attempts[key] = &a
		r.updates = append(r.updates, keyUpdate{key: key, at: a.UpdatedAt})
	}
	slices.SortFunc(r.updates, func(a, b keyUpdate) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.key, b.key)
	})
}
