// Package lineage keeps the software version at which each stream began in the platform's store, where
// it outlasts all gateways. A gateway writes it before it passes the first event of a stream on, and
// reads it when a caller resumes a stream that another process began.
package lineage

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/gateway"
	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/modules/delay"
	"github.com/crocusline/crocusline/modules/metric"
)

// Name is the service's name.
const Name = "lineage"

const (
	// partitions is the number of partitions of the topic. One processes some hundred writes a second.
	partitions = 4
	// maxHold is how long the first event of a stream waits for its record. The store usually responds
	// in about 4 ms, and events may be delayed by about 0.1 s.
	maxHold = 60 * time.Millisecond
	// retryInterval is the time between two attempts to write or to load.
	retryInterval = 100 * time.Millisecond
	// tickInterval is how often the era of the store is checked, and expired streams are forgotten.
	tickInterval = 500 * time.Millisecond
	// writeShare is the part of the store's writes that all gateways together use at most.
	writeShare = 0.5
	// defaultWritesPerSecond is what a store takes at least.
	defaultWritesPerSecond = 400
	// earlierLifetime is how long records of an earlier process of the instance are kept.
	earlierLifetime = 2 * time.Minute
)

// Store is the platform's store of records.
type Store interface {
	// Snapshot returns the newest record of each key.
	Snapshot(ctx context.Context, p record.Partition) (record.Snapshot, error)
	// Append performs a write if its condition holds.
	Append(ctx context.Context, w record.Write) error
	// Era returns the latest era of the store that a response named.
	Era() int64
}

// Fleet lists the gateways.
type Fleet interface {
	// Count returns the number of gateways that share the store.
	Count() gateway.Count
	// Members returns the gateways that are registered, by instance, with this one.
	Members() map[string]gateway.Member
}

// Peers calls other gateways.
type Peers interface {
	// Origin asks the gateway at the address for the origin of a stream.
	Origin(ctx context.Context, peer netip.AddrPort, id lineage.ID) (lineage.Answer, error)
}

// Option changes a Service at construction.
type Option func(*Service)

// WithFleet sets the gateways that share the store's writes, and how they are asked for streams that the
// store doesn't show.
func WithFleet(f Fleet, p Peers) Option { return func(s *Service) { s.fleet, s.peers = f, p } }

// WithWritesPerSecond sets the number of writes a second that the store takes from all gateways.
func WithWritesPerSecond(n float64) Option {
	return func(s *Service) {
		if n > 0 {
			s.writesPerSecond = n
		}
	}
}

// WithMetrics sets the metrics that the service updates.
func WithMetrics(set *metric.Set) Option { return func(s *Service) { s.metrics = set } }

// Service records and finds the origins of streams.
type Service struct {
	log             hclog.Logger
	store           Store
	topic           string
	instance        string
	fleet           Fleet
	peers           Peers
	writesPerSecond float64
	metrics         *metric.Set

	mu sync.Mutex
	// began holds the streams that this process began.
	began  map[lineage.ID]begun
	writer *lineage.Writer
	// changed is closed and replaced when records were written.
	changed chan struct{}
	// failing is whether the last write failed, or is under way for longer than maxHold.
	failing bool
	// era is the store's era in which the records were written, once loaded is set.
	era    int64
	loaded bool
	// stored holds the streams of each partition, as of the last reads, and recorders the instances that recorded
	// them.
	stored    [partitions]*lineage.Index
	recorders [partitions]map[lineage.ID][]string
	// participants holds the gateways that took part in a stream when they were asked.
	participants map[lineage.ID]participants
	// reading is the last read, or nil.
	reading *read

	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// begun is a stream that this process began, and until when it can be resumed.
type begun struct {
	origin lineage.Origin
	until  time.Time
}

// New returns the service of the gateway with the instance's name.
func New(log hclog.Logger, store Store, topic, instance string, opts ...Option) *Service {
	s := &Service{
		log: log.Named(Name), store: store, topic: topic, instance: instance, writesPerSecond: defaultWritesPerSecond, metrics: metric.New(),
		began: map[lineage.ID]begun{}, participants: map[lineage.ID]participants{}, writer: lineage.NewWriter(instance), changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	for i := range s.stored {
		s.stored[i] = lineage.NewIndex()
	}
	for _, opt := range opts {
		opt(s)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	s.running.Go(s.run)
	return nil
}

// Close implements kernel.Service. All streams have ended by then.
func (s *Service) Close() error {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.running.Wait()
	return nil
}

// ownPartition returns the partition to which this gateway writes.
func (s *Service) ownPartition() int { return int(xxhash.Sum64String(s.instance) % partitions) }

func (s *Service) partition(n int) record.Partition {
	return record.Partition{Topic: s.topic, Number: n}
}

// Begin records where the stream begins, and that callers may resume it for the given time. It returns
// once the store has the record, or after maxHold. While the store fails it doesn't wait: the stream can
// be resumed at this gateway then, and at others once the store has the record.
func (s *Service) Begin(ctx context.Context, id lineage.ID, origin lineage.Origin, lifetime time.Duration) {
	s.mu.Lock()
	now := time.Now()
	until := now.Add(lifetime)
	if before, exists := s.began[id]; exists && before.origin != origin {
		s.began[id] = begun{until: until}
	} else {
		s.began[id] = begun{origin: origin, until: until}
	}
	generation := s.writer.Add(now, lineage.Entry{ID: id, Origin: origin}, until)
	failing := s.failing || !s.loaded
	s.mu.Unlock()
	s.wakeUp()
	if !failing && s.awaitWritten(ctx, generation) {
		s.metrics.Counter(streamsRecorded).Inc()
		return
	}
	s.metrics.Counter(streamsUnrecorded).Inc()
}

// Counters of the streams whose first event was passed on after the store had their origin, and before.
const (
	streamsRecorded   = "crocusline_streams_recorded_total"
	streamsUnrecorded = "crocusline_streams_unrecorded_total"
)

// awaitWritten waits until the store has the generation. It returns false after maxHold.
func (s *Service) awaitWritten(ctx context.Context, generation int64) bool {
	timer := time.NewTimer(maxHold)
	defer timer.Stop()
	for {
		s.mu.Lock()
		written, changed := s.writer.Written() >= generation, s.changed
		s.mu.Unlock()
		if written {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			s.setFailing(true)
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Service) setFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failing != s.failing {
		s.log.Info("origins of streams written", "ok", !failing)
	}
	s.failing = failing
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run loads the records of earlier processes, and writes what is due.
func (s *Service) run() {
	for !s.load() {
		s.forgetExpired(time.Now())
		if !delay.Wait(s.ctx, retryInterval) {
			return
		}
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.wake:
		case <-ticker.C:
			s.forgetExpired(time.Now())
			s.checkEra(s.store.Era())
		case <-s.ctx.Done():
			return
		}
		for s.write() {
			if !delay.Wait(s.ctx, s.writeInterval()) {
				return
			}
		}
	}
}

// writeInterval returns the time between two writes, so that all gateways together use their share of
// the store's writes at most.
func (s *Service) writeInterval() time.Duration {
	s.mu.Lock()
	failing := s.failing
	s.mu.Unlock()
	interval := time.Duration(0)
	if s.fleet != nil {
		interval = time.Duration(float64(s.fleet.Count()) / (writeShare * s.writesPerSecond) * float64(time.Second))
	}
	if failing {
		return max(interval, retryInterval)
	}
	return interval
}

// load reads the records of earlier processes of this instance, and reports whether that succeeded.
func (s *Service) load() bool {
	own := s.ownPartition()
	snapshot, err := s.store.Snapshot(s.ctx, s.partition(own))
	if err != nil {
		s.log.Debug("origins of streams not loaded", "error", err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored[own], s.recorders[own] = s.index(snapshot.Records)
	until := time.Now().Add(earlierLifetime)
	for _, r := range snapshot.Records {
		// Damaged records were logged by index. Their slots aren't used either.
		entries, _ := lineage.ParseRecord(r)
		s.writer.Load(r.Key, entries, until)
	}
	s.era, s.loaded = snapshot.Era, true
	return true
}

// index returns the streams of the records, and the instances that recorded them.
func (s *Service) index(records []record.Record) (*lineage.Index, map[lineage.ID][]string) {
	x, recorders := lineage.NewIndex(), map[lineage.ID][]string{}
	for _, r := range records {
		entries, err := lineage.ParseRecord(r)
		if err != nil {
			s.log.Error("cannot decode origins of streams", "key", r.Key, "offset", r.Offset, "error", err)
		}
		instance := lineage.InstanceOf(r.Key)
		for _, e := range entries {
			x.Add(e)
			recorders[e.ID] = append(recorders[e.ID], instance)
		}
	}
	return x, recorders
}

// forgetExpired forgets streams that can't be resumed any more, and what was read long ago.
func (s *Service) forgetExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, b := range s.began {
		if now.After(b.until) {
			delete(s.began, id)
		}
	}
	for id, p := range s.participants {
		if now.Sub(p.since) > participantsLifetime {
			delete(s.participants, id)
		}
	}
	if s.reading != nil && now.Sub(s.reading.beganAt) > readLifetime {
		s.reading = nil
		for n := range s.stored {
			s.stored[n], s.recorders[n] = lineage.NewIndex(), nil
		}
	}
}

// checkEra makes all records due again if the era is a later one: the store may have lost them.
func (s *Service) checkEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era > s.era {
		s.log.Info("origins of streams written again", "era", era, "before", s.era)
		s.era = era
		s.writer.Rewrite(time.Now())
	}
}

// write writes what is due, and reports whether anything was.
func (s *Service) write() bool {
	s.mu.Lock()
	records, generation, err := s.writer.Unwritten(time.Now())
	era := s.era
	s.mu.Unlock()
	if err != nil {
		s.log.Error("cannot encode origins of streams", "error", err)
		return false
	}
	if len(records) == 0 {
		return false
	}
	err = s.store.Append(s.ctx, record.Write{Partition: s.partition(s.ownPartition()), Records: records, Era: era})
	s.recordWrite(generation, err)
	return s.ctx.Err() == nil
}

// recordWrite records the result of a write.
func (s *Service) recordWrite(generation int64, err error) {
	s.setFailing(err != nil)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.writer.Confirm(generation)
		close(s.changed)
		s.changed = make(chan struct{})
		return
	}
	s.log.Debug("origins of streams not written", "generation", generation, "error", err)
	s.checkEra(s.store.Era())
	var refused *record.RefusedError
	if !errors.As(err, &refused) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.writer.Unanswered(time.Now())
	}
}
