// Package quarantine keeps prompts from servers that crash each server that begins to answer
// them. The gateways share what they observe through the platform's store: servers that
// crashed, with the segments of the prompts that they were about to answer, and answers to
// segments under which servers crashed. Each gateway concludes from the same observations.
package quarantine

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

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

// Dialer establishes connections to servers.
type Dialer interface {
	// Connect returns an error if the server accepts no connection, of the kind
	// syscall.ECONNREFUSED if it refuses one.
	Connect(ctx context.Context, address netip.AddrPort) error
}

// Server identifies the start of a server.
type Server struct {
	ID      string
	Address netip.AddrPort
	// Started is in ms since 1970, by the server's clock, or 0 if unknown.
	Started int64
}

func (s Server) start() string { return fmt.Sprintf("%s/%d", s.ID, s.Started) }

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

// RecordAnswer records that a server answered a prompt with the segments.
func (s *Service) RecordAnswer(segments []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.prunedAt) > quarantine.EvidenceLifetime || len(s.answered) >= maxAnswered {
		s.answered, s.answeredBefore, s.prunedAt = map[string]quarantine.Answer{}, s.answered, now
	}
	answer := quarantine.Answer{At: now, Segments: considered(segments)}
	for _, id := range answer.Segments {
		s.answered[id] = answer
	}
	s.clearAnswered()
	s.liftRefuted()
}

// RecordBroken records that a server broke off the response to a prompt with the segments
// that it was about to answer. The server is called to find out whether it has crashed.
func (s *Service) RecordBroken(server Server, segments []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || len(segments) == 0 {
		return
	}
	if len(s.broken) == 0 {
		s.running.Go(s.callBroken)
	}
	s.broken[server] = union(s.broken[server], considered(segments))
}

// callBroken gathers servers that break off responses, calls them, and publishes the crashes of
// those that accept no connection.
func (s *Service) callBroken() {
	if !delay.Wait(s.ctx, gatherTime) {
		return
	}
	s.mu.Lock()
	broken := s.broken
	s.broken = map[Server][]string{}
	s.mu.Unlock()
	crashed := s.call(broken)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, c := range crashed {
		s.crashed[c.Server] = now
		s.tracker.RecordCrash(now, c)
		s.publish(quarantine.Observation{Server: c.Server, Segments: c.Segments})
	}
	s.clearAnswered()
}

// call calls the servers and returns those that refuse the connection: no process listens there any
// more. A server that merely can't be reached may be cut off from this gateway.
func (s *Service) call(broken map[Server][]string) []quarantine.Crash {
	var mu sync.Mutex
	var calls sync.WaitGroup
	var crashed []quarantine.Crash
	for server, segments := range broken {
		calls.Go(func() {
			err := s.dialer.Connect(s.ctx, server.Address)
			if err == nil || s.ctx.Err() != nil {
				return
			}
			if !errors.Is(err, syscall.ECONNREFUSED) {
				s.log.Debug("server not reachable", "server", server.ID, "segments", segments, "error", err)
				return
			}
			s.log.Info("server crashed under prompts", "server", server.ID, "segments", segments, "error", err)
			mu.Lock()
			defer mu.Unlock()
			crashed = append(crashed, quarantine.Crash{Server: server.start(), Segments: segments})
		})
	}
	calls.Wait()
	return crashed
}

// clearAnswered clears the watched segments that were answered here, which is published after
// a delay.
func (s *Service) clearAnswered() {
	for id, since := range s.tracker.Watched() {
		if !s.answered[id].At.After(since) && !s.answeredBefore[id].At.After(since) {
			continue
		}
		s.tracker.RecordAnswer(id)
		s.schedulePublication()
		s.unpublished[id] = true
	}
}

// schedulePublication sets the time of the next publication, if none is scheduled.
func (s *Service) schedulePublication() {
	if !s.publicationDue() {
		s.publishAt = time.Now().Add(quarantine.PublicationDelay(rand.Float64()))
	}
	s.wakeUp()
}

// publicationDue reports whether answers or lifts are to be published.
func (s *Service) publicationDue() bool { return len(s.unpublished) > 0 || len(s.lifted) > 0 }

// publishAnswers publishes the answers and lifts that are due.
func (s *Service) publishAnswers(now time.Time) {
	if !s.publicationDue() || now.Before(s.publishAt) {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(s.lifted)) {
		s.write(record.Record{Key: key})
	}
	if len(s.unpublished) > 0 {
		s.publish(quarantine.Observation{Segments: slices.Sorted(maps.Keys(s.unpublished))})
	}
	clear(s.lifted)
	clear(s.unpublished)
}

// publish queues an observation for writing.
func (s *Service) publish(o quarantine.Observation) {
	o.At = time.Now().UnixMilli()
	data, err := o.Encode()
	if err != nil {
		s.log.Error("cannot encode observation", "error", err)
		return
	}
	s.write(record.Record{Key: fmt.Sprintf("%s/%d", s.instance, s.slot%slots), Value: data})
	s.slot++
}

// write queues a record for writing.
func (s *Service) write(r record.Record) {
	s.unwritten = append(s.unwritten, r)
	s.wakeUp()
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

func (s *Service) append(records []record.Record) error {
	if len(records) == 0 {
		return nil
	}
	return s.store.Append(s.ctx, record.Write{Partition: s.partition(), Records: records})
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

func (s *Service) writeEntry(e quarantine.Entry) {
	data, err := e.Encode()
	if err != nil {
		s.log.Error("cannot encode quarantine", "segments", e.Segments, "error", err)
		return
	}
	s.write(record.Record{Key: e.Key(), Value: data})
}

// liftRefuted lifts the quarantines that answers refute which this gateway got, for instance while it
// was cut off and didn't know of them.
func (s *Service) liftRefuted() {
	for _, e := range s.tracker.Entries() {
		if s.refuted(e) {
			s.log.Warn("quarantine lifted, as a server answered", "segments", e.Segments, "until", e.Until)
			s.tracker.Remove(e.Key())
			s.schedulePublication()
			s.lifted[e.Key()] = true
			for _, id := range e.Segments {
				// Gateways that start later read the crashes, and would conclude the same.
				s.unpublished[id] = true
			}
		}
	}
}

// refuted reports whether the last answer to a prompt with one of the entry's segments refutes it. The last answers to
// the others may have been to other prompts.
func (s *Service) refuted(e quarantine.Entry) bool {
	return slices.ContainsFunc(e.Segments, func(id string) bool {
		return s.answered[id].Refutes(e) || s.answeredBefore[id].Refutes(e)
	})
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

// union returns the segments of both lists, each once.
func union(a, b []string) []string {
	for _, id := range b {
		if !slices.Contains(a, id) {
			a = append(a, id)
		}
	}
	return a
}

// Reset implements follower.Handler.
func (s *Service) Reset(records []record.Record, _ int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, restored := s.tracker.Entries(), s.follower.Era() > s.era
	s.era = s.follower.Era()
	records = slices.Clone(records)
	slices.SortFunc(records, func(a, b record.Record) int { return int(a.Offset - b.Offset) })
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		s.apply(r)
	}
	for _, e := range known {
		switch {
		case listed[e.Key()]:
		case restored:
			// The store may have returned from an older copy.
			s.writeEntry(e)
		default:
			s.tracker.Remove(e.Key())
		}
	}
	s.clearAnswered()
	s.liftRefuted()
	s.wakeUp()
}

// Apply implements follower.Handler.
func (s *Service) Apply(records []record.Record, _ int64) {
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.apply(r)
	}
	s.clearAnswered()
	s.liftRefuted()
	s.wakeUp()
}

func (s *Service) apply(r record.Record) {
	if quarantine.IsEntryKey(r.Key) {
		s.applyEntry(r)
		return
	}
	if r.Value == nil {
		return
	}
	o, err := quarantine.ParseObservation(r.Value)
	if err != nil {
		s.log.Error("cannot decode observation", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	now := time.Now()
	switch age := now.Sub(time.UnixMilli(o.At)); {
	case age > quarantine.EvidenceLifetime:
	case o.Server != "":
		s.tracker.RecordCrash(now, quarantine.Crash{Server: o.Server, Segments: o.Segments, Age: age})
	default:
		for _, id := range o.Segments {
			s.tracker.RecordAnswer(id)
			delete(s.unpublished, id)
		}
	}
}

func (s *Service) applyEntry(r record.Record) {
	if r.Value == nil {
		s.tracker.Remove(r.Key)
		delete(s.lifted, r.Key)
		return
	}
	e, err := quarantine.ParseEntry(r.Value)
	if err != nil {
		s.log.Error("cannot decode quarantine", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	s.log.Info("quarantine read", "segments", e.Segments, "until", e.Until)
	s.tracker.Add(e)
}

// SetReachable implements follower.Handler.
func (s *Service) SetReachable(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok && !s.reachable {
		s.tracker.RecordContact(time.Now())
	}
	s.reachable = ok
}
