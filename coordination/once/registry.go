// Package once registers attempts of work that may run at most once.
//
// An attempt is registered before it starts, under a key that its requester
// chose. The next attempt of a key can be registered only after the one before
// was void, which somebody may declare only with the proof that it did not and
// will not run. The Registry is pure state, to be folded from an ordered log.
package once

import (
	"bytes"
	"slices"
	"strings"
	"time"
)

//go:generate stringer -type=Status,Effect -linecomment -output=once_string.go

// Status says what is known of an attempt.
type Status int

// The statuses.
const (
	Registered Status = iota // registered
	Ran                      // ran
	Voided                   // void
)

// Effect says what a change did.
type Effect int

// The effects.
const (
	Applied Effect = iota // applied
	// Ignored means that the change did not fit the state it met.
	Ignored // ignored
	// Conflict means that the key belongs to other work.
	Conflict // conflict
	// Expired means that the key is older than what is remembered, so that an
	// earlier attempt of it may have run.
	Expired // expired
)

// DefaultRetention is how long, by the log's clock, a key is remembered after its
// last change.
const DefaultRetention = 24 * time.Hour

// MaxClockSkew is how far the clocks that keys are made by may be ahead of the log's.
// Keys are remembered for that much longer than the window.
const MaxClockSkew = 5 * time.Minute

// Attempt is the latest attempt of a key.
type Attempt struct {
	// ID tells the calls that tried to register apart.
	ID string `json:"id"`
	// Number counts the attempts of the key, from 1.
	Number int64 `json:"number"`
	// Digest identifies the work.
	Digest []byte `json:"digest"`
	// KeyCreatedAt is when the key was made, if that is known. A key that is not known
	// to the registry can be registered only within the window after it was
	// made, since it may have been forgotten later. Without it a key is
	// accepted, and the requester has to keep from using it after the window.
	KeyCreatedAt time.Time `json:"-"`
	// Requester is the only one that may start the attempt.
	Requester string `json:"requester"`
	// Runner is the only one that may run it.
	Runner string `json:"runner"`
	// Place is where the runner runs it.
	Place        string    `json:"place"`
	Status       Status    `json:"status"`
	Result       []byte    `json:"result,omitempty"`
	ResultStored bool      `json:"kept"`
	UpdatedAt    time.Time `json:"at"`
}

type expiry struct {
	key string
	at  time.Time
}

// Registry holds the latest attempt of each key.
type Registry struct {
	window   time.Duration
	attempts map[string]*Attempt
	expires  []expiry
}

// Option configures a Registry.
type Option func(*Registry)

// WithRetention sets how long, by the log's clock, a key is remembered after its
// last change.
func WithRetention(d time.Duration) Option {
	return func(r *Registry) { r.window = d }
}

// New returns an empty registry.
func New(opts ...Option) *Registry {
	r := &Registry{window: DefaultRetention, attempts: map[string]*Attempt{}}
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

// Len returns the number of keys remembered.
func (r *Registry) Len() int { return len(r.attempts) }

// Register registers an attempt, if its number is the next free one.
func (r *Registry) Register(now time.Time, key string, a Attempt) Effect {
	r.forget(now)
	last := r.attempts[key]
	switch {
	case last == nil && a.Number != 1:
		return Ignored
	case last == nil && r.expired(now, a.KeyCreatedAt):
		return Expired
	case last == nil:
	case !bytes.Equal(last.Digest, a.Digest):
		return Conflict
	case last.Status != Voided || a.Number != last.Number+1:
		return Ignored
	}
	a.Status = Registered
	a.Result, a.ResultStored = nil, false
	r.set(now, key, &a)
	return Applied
}

// Finish records that an attempt ran, with its result if that is kept.
func (r *Registry) Finish(now time.Time, key string, number int64, result []byte, kept bool) Effect {
	r.forget(now)
	a := r.attempts[key]
	if a == nil || a.Number != number || a.Status != Registered {
		return Ignored
	}
	a.Status = Ran
	a.Result, a.ResultStored = result, kept
	r.set(now, key, a)
	return Applied
}

// Void records that an attempt did not and will not run.
func (r *Registry) Void(now time.Time, key string, number int64) Effect {
	r.forget(now)
	a := r.attempts[key]
	if a == nil || a.Number != number || a.Status != Registered {
		return Ignored
	}
	a.Status = Voided
	r.set(now, key, a)
	return Applied
}

// expired says whether a key of that time may have been forgotten, or may come to
// be forgotten too early.
func (r *Registry) expired(now, made time.Time) bool {
	if made.IsZero() {
		return false
	}
	age := now.Sub(made)
	return age > r.window || age < -MaxClockSkew
}

func (r *Registry) set(now time.Time, key string, a *Attempt) {
	a.UpdatedAt = now.UTC()
	r.attempts[key] = a
	r.expires = append(r.expires, expiry{key: key, at: a.UpdatedAt})
}

func (r *Registry) forget(now time.Time) {
	n := 0
	for n < len(r.expires) && now.Sub(r.expires[n].at) > r.window+MaxClockSkew {
		e := r.expires[n]
		if a := r.attempts[e.key]; a != nil && a.UpdatedAt.Equal(e.at) {
			delete(r.attempts, e.key)
		}
		n++
	}
	r.expires = r.expires[n:]
}

// Snapshot returns the latest attempts by key.
func (r *Registry) Snapshot() map[string]Attempt {
	all := make(map[string]Attempt, len(r.attempts))
	for key, a := range r.attempts {
		all[key] = *a
	}
	return all
}

// Restore sets the registry to a Snapshot.
func (r *Registry) Restore(all map[string]Attempt) {
	r.attempts = make(map[string]*Attempt, len(all))
	r.expires = r.expires[:0]
	for key, a := range all {
		r.attempts[key] = &a
		r.expires = append(r.expires, expiry{key: key, at: a.UpdatedAt})
	}
	slices.SortFunc(r.expires, func(a, b expiry) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.key, b.key)
	})
}
