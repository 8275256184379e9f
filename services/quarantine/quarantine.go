// Package quarantine keeps prompts from servers that crash each server that begins to answer
// them. The gateways share what they observe through the platform's store: servers that
// crashed, with the segments of the prompts that they were about to answer, and answers to
// segments under which servers crashed. Each gateway concludes from the same observations.
package quarantine

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/quarantine"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/modules/delay"
	"github.com/crocusline/crocusline/services/follower"
)

// Name is the service's name.
const Name = "quarantine"

const (
	// pollTimeout is how long the store may hold a read open, and suspectedPollTimeout that while there are
	// suspects: the end of such a read shows that the others have no further evidence.
	pollTimeout          = time.Second
	suspectedPollTimeout = 300 * time.Millisecond
	// gatherTime is how long broken responses are gathered before the servers are called.
	gatherTime = 100 * time.Millisecond
	// stepInterval is the time between two steps while there are suspects.
	stepInterval = 100 * time.Millisecond
	// retryInterval is the time between two attempts to write.
	retryInterval = 500 * time.Millisecond
	// slots is the number of observations that each gateway keeps in the store, for processes
	// that start later.
	slots = 8
	// maxUnwritten limits the records that wait while the store is unreachable.
	maxUnwritten = 64
	// maxAnswered limits the identifiers whose answers are remembered, twice.
	maxAnswered = 20_000
	// maxSegments and maxSegmentBytes limit the segments of a prompt, and their ids.
	maxSegments     = 32
	maxSegmentBytes = 64
)

// Store is the platform's store of records.
type Store interface {
	follower.Log
	// Append performs a write if its condition holds.
	Append(ctx context.Context, w record.Write) error
}

// Service is the quarantine.
type Service struct {
	log      hclog.Logger
	store    Store
	topic    string
	instance string
	dialer   Dialer
	follower *follower.Follower

	mu      sync.Mutex
	tracker *quarantine.Tracker
	// broken holds the servers that broke off responses and are to be called, with the segments
	// of the prompts.
	broken map[Server][]string
	// crashed holds the starts of servers that crashed, as this gateway observed.
	crashed map[string]time.Time
	// answered holds the last answer to a prompt with each segment, and answeredBefore those of the time
	// before prunedAt.
	answered, answeredBefore map[string]quarantine.Answer
	prunedAt                 time.Time
	// unpublished are the segments whose answer this gateway is to publish at publishAt,
	// unless another one does so before.
	unpublished map[string]bool
	// lifted are the keys of entries whose end is to be written then too, unless another one does so before.
	lifted    map[string]bool
	publishAt time.Time
	// unwritten are the records to be written, slot is that of the next observation.
	unwritten []record.Record
	slot      int

	// suspected is whether there are suspects.
	suspected atomic.Bool
	// reachable is whether the last read succeeded, and era the store's era of the last full read.
	reachable bool
	era       int64

	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New returns the quarantine of a gateway.
func New(log hclog.Logger, store Store, topic, instance string, dialer Dialer) *Service {
	s := &Service{
		log: log.Named(Name), store: store, topic: topic, instance: instance, dialer: dialer,
		tracker: quarantine.NewTracker(), broken: map[Server][]string{}, crashed: map[string]time.Time{},
		answered: map[string]quarantine.Answer{}, answeredBefore: map[string]quarantine.Answer{}, unpublished: map[string]bool{}, lifted: map[string]bool{},
		wake: make(chan struct{}, 1),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.follower = follower.New(s.log, store, s.partition(), s, follower.WithPace(func() follower.Pace {
		pace := follower.Pace{MinInterval: stepInterval, PollTimeout: pollTimeout}
		if s.suspected.Load() {
			pace.PollTimeout = suspectedPollTimeout
		}
		return pace
	}))
	return s
}

func (s *Service) partition() record.Partition { return record.Partition{Topic: s.topic} }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	s.follower.Start(s.ctx)
	s.running.Go(s.run)
	return nil
}

// Close implements kernel.Service.
func (s *Service) Close() error {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.running.Wait()
	return s.follower.Close()
}

// Blocked returns for how long prompts with the segments are in quarantine, and whether they
// are.
func (s *Service) Blocked(segments []string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	e, blocked := s.tracker.Find(now, considered(segments))
	if !blocked {
		return 0, false
	}
	return e.Until.Sub(now), true
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes what is queued, and draws conclusions while there are suspects.
func (s *Service) run() {
	for {
		select {
		case <-s.wake:
		case <-s.ctx.Done():
			return
		}
		for busy := true; busy; {
			var wait time.Duration
			if wait, busy = s.step(); !delay.Wait(s.ctx, wait) {
				return
			}
		}
	}
}

// step draws conclusions and writes what is queued. It returns when the next step may follow,
// and whether one is due.
func (s *Service) step() (time.Duration, bool) {
	s.mu.Lock()
	now := time.Now()
	s.conclude(now)
	s.publishAnswers(now)
	queued := s.unwritten
	s.unwritten = nil
	s.mu.Unlock()
	err := s.append(queued)
	s.mu.Lock()
	defer s.mu.Unlock()
	suspected := s.tracker.Expire(time.Now())
	s.suspected.Store(suspected)
	if err != nil {
		s.log.Debug("observations not written", "records", len(queued), "error", err)
		// Evidence that is written twice has no further effect.
		queued = append(queued, s.unwritten...)
		s.unwritten = queued[max(0, len(queued)-maxUnwritten):]
		return retryInterval, true
	}
	if s.publicationDue() {
		return min(stepInterval, time.Until(s.publishAt)), true
	}
	return stepInterval, suspected || len(s.unwritten) > 0
}

// conclude puts segments in quarantine. The gateways that observed one of the crashes record
// it for those that start later.
func (s *Service) conclude(now time.Time) {
	if !s.reachable {
		for _, e := range s.tracker.ConcludeAlone(now) {
			s.log.Warn("prompt segments quarantined until the store is reachable", "segments", e.Segments)
		}
		return
	}
	for _, e := range s.tracker.Conclude(now, now.Add(-s.follower.Age())) {
		s.log.Warn("prompt segments quarantined", "segments", e.Segments, "until", e.Until)
		if len(s.crashed) > 0 {
			s.writeEntry(e)
		}
	}
	for start, at := range s.crashed {
		if now.Sub(at) > quarantine.EvidenceLifetime {
			delete(s.crashed, start)
		}
	}
}

// considered returns the ids of the first segments, as they are stored. Long ids are replaced
// by their hash.
func considered(segments []string) []string {
	ids := slices.Clone(segments[:min(len(segments), maxSegments)])
	for i, id := range ids {
		if len(id) > maxSegmentBytes {
			ids[i] = strconv.FormatUint(xxhash.Sum64String(id), 16)
		}
	}
	return ids
}
