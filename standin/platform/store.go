// Package platform simulates the platform for tests: an append-only log in
// memory and a list of instances that shows changes late, with injected faults.
// Store can be used in process, as a modules/platform.Log, or over HTTP through
// Handler.
package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/standin/control"
)

// Store holds the simulated platform's streams, instances and faults.
type Store struct {
	now           func() time.Time
	sleep         func(context.Context, time.Duration) error
	initialFaults Faults

	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	limiter   *rate.Limiter
	streams   map[string]*stream
	instances []snapshot
	appends   int64
}

// Option configures a Store.
type Option func(*Store)

// WithClock sets the source of the current time.
func WithClock(now func() time.Time) Option {
	return func(s *Store) { s.now = now }
}

// WithSleep sets the function that delays calls. It must return early with an
// error when the context ends.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(s *Store) { s.sleep = sleep }
}

// WithFaults sets the initial faults.
func WithFaults(f Faults) Option {
	return func(s *Store) { s.initialFaults = f }
}

// WithSeed seeds the random choice of the responses lost by LoseAnswerShare.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.random = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns an empty store.
func New(options ...Option) *Store {
	s := &Store{
		now:     time.Now,
		sleep:   control.Sleep,
		random:  rand.New(rand.NewPCG(1, 0)),
		streams: map[string]*stream{},
	}
	for _, option := range options {
		option(s)
	}
	s.SetFaults(s.initialFaults)
	return s
}

// LogFor returns the log with calls attributed to the named client, to which
// Faults.Cut applies.
func (s *Store) LogFor(client string) platform.Log {
	return &clientLog{store: s, client: client}
}

// Appends returns the total number of records appended to all streams.
func (s *Store) Appends() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// clientLog implements platform.Log for one client.
type clientLog struct {
	store  *Store
	client string
}

// Append implements platform.Log.
func (v *clientLog) Append(ctx context.Context, name string, data []byte) (int64, error) {
	return v.store.append(ctx, v.client, name, data)
}

// Read implements platform.Log.
func (v *clientLog) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	return v.store.read(ctx, v.client, name, from, limit, wait)
}

// Causes of an UnavailableError.
var (
	errUnreachable  = errors.New("no connection to the platform")
	errResponseLost = errors.New("answer lost")
)

func (s *Store) append(ctx context.Context, client, name string, data []byte) (int64, error) {
	delay, err := s.beginCall(ctx, client, name)
	if err != nil {
		return 0, err
	}
	offset, lost, err := s.addRecord(name, data)
	if err != nil {
		return 0, err
	}
	if err := s.sleep(ctx, delay); err != nil {
		return 0, &platform.UnavailableError{Stream: name, Cause: err}
	}
	if lost {
		return 0, &platform.UnavailableError{Stream: name, Cause: errResponseLost}
	}
	return offset, nil
}

// addRecord appends a record and reports whether its response is to be lost.
func (s *Store) addRecord(name string, data []byte) (offset int64, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.limiter.AllowN(now, 1) {
		return 0, false, &platform.LimitError{Stream: name}
	}
	st := s.stream(name)
	offset = st.add(now, data)
	st.prune(now, &s.faults)
	s.appends++
	if s.faults.LoseNextAnswers > 0 {
		s.faults.LoseNextAnswers--
		return offset, true, nil
	}
	return offset, s.random.Float64() < s.faults.LoseAnswerShare, nil
}

func (s *Store) read(ctx context.Context, client, name string, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	delay, err := s.beginCall(ctx, client, name)
	if err != nil {
		return platform.Batch{}, err
	}
	if err := s.sleep(ctx, delay); err != nil {
		return platform.Batch{}, &platform.UnavailableError{Stream: name, Cause: err}
	}
	deadline := newDeadline(wait)
	defer deadline.stop()
	for {
		batch, changed, err := s.tryRead(client, name, from, limit)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-deadline.expired:
			return batch, nil
		case <-ctx.Done():
			return platform.Batch{}, &platform.UnavailableError{Stream: name, Cause: ctx.Err()}
		}
	}
}

// tryRead reads without waiting. The returned channel is closed when another
// attempt may return a different result.
func (s *Store) tryRead(client, name string, from int64, limit int) (platform.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.refuses(client) {
		return platform.Batch{}, nil, &platform.UnavailableError{Stream: name, Cause: errUnreachable}
	}
	st := s.stream(name)
	st.prune(s.now(), &s.faults)
	batch := platform.Batch{Oldest: st.oldest, Next: st.next()}
	if from < st.oldest {
		return batch, nil, &platform.GapError{Stream: name, From: from, Oldest: st.oldest}
	}
	batch.Records = st.slice(from, limit)
	return batch, st.changed, nil
}

// beginCall applies faults before a call takes effect: it refuses the call, or
// sleeps for half of Faults.Slowness. It returns the delay to apply after the
// effect.
func (s *Store) beginCall(ctx context.Context, client, name string) (time.Duration, error) {
	delay := time.Duration(s.Faults().Slowness) / 2
	if err := s.sleep(ctx, delay); err != nil {
		return 0, &platform.UnavailableError{Stream: name, Cause: err}
	}
	f := s.Faults()
	if !f.refuses(client) {
		return delay, nil
	}
	if f.Hang {
		<-ctx.Done()
	}
	return 0, &platform.UnavailableError{Stream: name, Cause: errUnreachable}
}

func (s *Store) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// deadline is the timeout of a long poll. Without a wait it never expires.
type deadline struct {
	timer   *time.Timer
	expired <-chan time.Time
}

func newDeadline(wait time.Duration) deadline {
	if wait <= 0 {
		return deadline{}
	}
	timer := time.NewTimer(wait)
	return deadline{timer: timer, expired: timer.C}
}

func (d deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}
