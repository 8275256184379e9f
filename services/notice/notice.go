// Package notice shares through the platform's store what backend servers announce about the
// requests that they take from all gateways together, and which gateways live.
package notice

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/gateway"
	"github.com/crocusline/crocusline/models/notice"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/modules/delay"
	"github.com/crocusline/crocusline/services/follower"
)

// Name is the service's name.
const Name = "notice"

const (
	// pollTimeout is how long the store may hold a read open. Records are rare, and one that is
	// written meanwhile is returned at once.
	pollTimeout = 2 * time.Second
	// minReadInterval is the minimum time between the starts of two reads.
	minReadInterval = 100 * time.Millisecond
	// stepInterval is the time between two steps while a server names a limit or is cold.
	stepInterval = 100 * time.Millisecond
)

// Store is the platform's store of records.
type Store interface {
	follower.Log
	// Append performs a write if its condition holds.
	Append(ctx context.Context, w record.Write) error
}

// Boards provides the board of the gateway.
type Boards interface {
	// WithBoard calls f with the board. Calls are serialized.
	WithBoard(f func(*notice.Board))
	// OnNotice sets the function that is called after a server announced anything new.
	OnNotice(f func())
}

// Directory lists the gateways.
type Directory interface {
	Members() map[string]gateway.Member
	Count() gateway.Count
}

// Service shares notices.
type Service struct {
	log       hclog.Logger
	store     Store
	topic     string
	instance  string
	boards    Boards
	directory Directory
	follower  *follower.Follower

	// mu guards era, the store's era of the last snapshot.
	mu  sync.Mutex
	era int64
	// heartbeatAt is when the last heartbeat was sent, or the zero value while there is no limit.
	heartbeatAt time.Time

	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New returns the service of the gateway with the instance's name.
func New(log hclog.Logger, store Store, topic, instance string, boards Boards, directory Directory) *Service {
	s := &Service{
		log: log.Named(Name), store: store, topic: topic, instance: instance, boards: boards, directory: directory,
		wake: make(chan struct{}, 1),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.follower = follower.New(s.log, store, s.partition(), s, follower.WithPace(func() follower.Pace {
		return follower.Pace{MinInterval: minReadInterval, PollTimeout: pollTimeout}
	}))
	return s
}

func (s *Service) partition() record.Partition { return record.Partition{Topic: s.topic} }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	s.boards.OnNotice(s.wakeUp)
	s.follower.Start(s.ctx)
	s.running.Go(s.run)
	return nil
}

// Close implements kernel.Service.
func (s *Service) Close() error {
	s.cancel()
	s.running.Wait()
	return s.follower.Close()
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes what is new, and heartbeats while a server names a limit or is cold.
func (s *Service) run() {
	for {
		select {
		case <-s.wake:
		case <-s.ctx.Done():
			return
		}
		for s.step(time.Now()) {
			if !delay.Wait(s.ctx, stepInterval) {
				return
			}
		}
	}
}

// step writes what is due, and reports whether another step is needed.
func (s *Service) step(now time.Time) bool {
	var statements []notice.Statement
	var interval time.Duration
	var limited bool
	s.boards.WithBoard(func(b *notice.Board) {
		s.setMembers(b, now)
		limited = b.Limited(now)
		if limited && s.heartbeatAt.IsZero() {
			b.Fleet().Watch(now)
		}
		statements = b.Unpublished(now)
		interval = b.Fleet().HeartbeatInterval()
	})
	records := s.encode(statements)
	heartbeat := limited && now.Sub(s.heartbeatAt) >= interval
	switch {
	case heartbeat:
		s.heartbeatAt = now
		records = append(records, record.Record{Key: notice.GatewayKey(s.instance), Value: []byte{1}})
	case !limited:
		s.heartbeatAt = time.Time{}
	}
	if len(records) > 0 {
		s.write(now, records, heartbeat)
	}
	return limited || len(statements) > 0
}

// setMembers passes the registered gateways to the board.
func (s *Service) setMembers(b *notice.Board, now time.Time) {
	if s.directory.Count().Known() {
		b.Fleet().SetMembers(now, slices.Collect(maps.Keys(s.directory.Members())))
	}
}

func (s *Service) encode(statements []notice.Statement) []record.Record {
	var records []record.Record
	for _, st := range statements {
		data, err := st.Encode()
		if err != nil {
			s.log.Error("cannot encode statement", "server", st.ID, "limit", st.Limit, "error", err)
			continue
		}
		s.log.Info("server limit published", "server", st.ID, "limit", st.Limit)
		records = append(records, record.Record{Key: notice.ServerKey(st.ID), Value: data})
	}
	return records
}

// write writes the records once. Statements that are still due are written again by a later step.
func (s *Service) write(now time.Time, records []record.Record, heartbeat bool) {
	if err := s.store.Append(s.ctx, record.Write{Partition: s.partition(), Records: records}); err != nil {
		s.log.Debug("notices not written", "records", len(records), "error", err)
		return
	}
	if heartbeat {
		s.boards.WithBoard(func(b *notice.Board) { b.Fleet().Confirm(time.Now(), now) })
	}
}

// Reset implements follower.Handler.
func (s *Service) Reset(records []record.Record, _ int64) {
	era := s.follower.Era()
	s.mu.Lock()
	copied := s.era != 0 && era > s.era
	s.era = era
	s.mu.Unlock()
	now := time.Now()
	s.boards.WithBoard(func(b *notice.Board) {
		ids := map[string]bool{}
		for _, r := range records {
			// The age of a heartbeat in a snapshot is unknown.
			if id, _ := notice.ParseKey(r.Key); id != "" {
				ids[id] = true
				s.apply(b, now, r)
			}
		}
		b.Keep(now, ids, copied)
	})
	s.wakeUp()
}

// Apply implements follower.Handler.
func (s *Service) Apply(records []record.Record, _ int64) {
	if len(records) == 0 {
		return
	}
	now := time.Now()
	s.boards.WithBoard(func(b *notice.Board) {
		for _, r := range records {
			s.apply(b, now, r)
		}
	})
	s.wakeUp()
}

func (s *Service) apply(b *notice.Board, now time.Time, r record.Record) {
	id, instance := notice.ParseKey(r.Key)
	switch {
	case id == "":
		b.Fleet().RecordHeartbeat(now, instance)
	case r.Value == nil:
		s.log.Info("server limit ended", "server", id)
		b.LearnEnd(now, id)
	default:
		st, err := notice.ParseStatement(id, r.Value)
		if err != nil {
			s.log.Error("cannot decode statement", "key", r.Key, "offset", r.Offset, "error", err)
			return
		}
		s.log.Info("server limit read", "server", id, "limit", st.Limit)
		b.Learn(now, st)
	}
}

// SetReachable implements follower.Handler.
func (s *Service) SetReachable(ok bool) {
	s.boards.WithBoard(func(b *notice.Board) {
		if !ok {
			b.Fleet().RecordUnreadable()
			return
		}
		now := time.Now()
		b.Fleet().RecordRead(now.Add(-s.follower.Age()))
		// The gateways are known before the first limit, which holds from its first second.
		s.setMembers(b, now)
	})
}
