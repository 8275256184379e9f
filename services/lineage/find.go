package lineage

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/gateway"
	"github.com/crocusline/crocusline/models/lineage"
)

const (
	// findTimeout bounds the time for which a request that resumes a stream waits for its origin. A
	// slow store responds in some 0.25 s.
	findTimeout = 350 * time.Millisecond
	// readTimeout bounds a read of all partitions.
	readTimeout = 2 * time.Second
	// maxPeers is the number of gateways that are asked for a stream, and peerTimeout bounds these
	// calls.
	maxPeers    = 24
	peerTimeout = 150 * time.Millisecond
	// readLifetime is how long the streams of a read are kept.
	readLifetime = time.Minute
	// failedReadTime is how long after a failed read no other one is made.
	failedReadTime = 300 * time.Millisecond
)

// UnknownError is returned if the origin of a stream is unknown.
type UnknownError struct {
	// Unread is whether the store could not be read.
	Unread bool
	// Contradicted is whether two records of the stream differ. Otherwise there is none, as far as the store
	// could be read.
	Contradicted bool
	Err          error
}

// Error implements error.
func (e *UnknownError) Error() string {
	switch {
	case e.Unread:
		return fmt.Sprintf("the origin of the stream can't be read: %v", e.Err)
	case e.Contradicted:
		return "two records of the stream's origin differ"
	}
	return "no record of the stream's origin"
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// read is a read of all partitions.
type read struct {
	beganAt time.Time
	done    chan struct{}
	// endedAt and err are set before done is closed.
	endedAt time.Time
	err     error
}

// failedAt returns when the read failed, or the zero value if it is under way or didn't fail.
func (r *read) failedAt() time.Time {
	if r == nil {
		return time.Time{}
	}
	select {
	case <-r.done:
		if r.err != nil {
			return r.endedAt
		}
	default:
	}
	return time.Time{}
}

// streamsResumed counts the streams that callers resumed, by what was known of their origin.
const streamsResumed = "crocusline_streams_resumed_total"

const (
	originKnown   = `{origin="known"}`
	originUnknown = `{origin="unknown"}`
	originUnread  = `{origin="unread"}`
)

// Find returns the origin of the stream, or an *UnknownError.
func (s *Service) Find(ctx context.Context, id lineage.ID) (lineage.Origin, error) {
	origin, err := s.find(ctx, id, time.Now())
	var unknown *UnknownError
	// Other gateways may know one of two records that differ.
	if errors.As(err, &unknown) && !unknown.Contradicted {
		if o := s.askPeers(ctx, id); o.Known() {
			origin, err = o, nil
		}
	}
	switch {
	case err == nil:
		s.metrics.Counter(streamsResumed + originKnown).Inc()
	case errors.As(err, &unknown) && unknown.Unread:
		s.metrics.Counter(streamsResumed + originUnread).Inc()
	default:
		s.metrics.Counter(streamsResumed + originUnknown).Inc()
	}
	return origin, err
}

// find looks for the stream among those known, and in the store if it isn't. A caller has received an
// event of the stream, so that the store has the record by now if it was written in time: a read that
// begins later shows it.
func (s *Service) find(ctx context.Context, id lineage.ID, since time.Time) (lineage.Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for {
		if o, exists := s.known(id); exists {
			return o, contradiction(o)
		}
		r, err := s.joinRead(since)
		if err != nil {
			return lineage.Origin{}, &UnknownError{Unread: true, Err: err}
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return lineage.Origin{}, &UnknownError{Unread: true, Err: errors.WithStack(ctx.Err())}
		}
		if o, exists := s.known(id); exists {
			return o, contradiction(o)
		}
		if r.err != nil {
			return lineage.Origin{}, &UnknownError{Unread: true, Err: r.err}
		}
		if !r.beganAt.Before(since) {
			return lineage.Origin{}, &UnknownError{}
		}
	}
}

// contradiction returns an error if the records of a stream differ, so that its origin is unknown.
func contradiction(o lineage.Origin) error {
	if o.Known() {
		return nil
	}
	return &UnknownError{Contradicted: true}
}

// known returns the origin of a stream that this process began or has read of, which is unknown if they
// differ, and whether there is any.
func (s *Service) known(id lineage.ID) (lineage.Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := lineage.NewIndex()
	if b, exists := s.began[id]; exists {
		all.Add(lineage.Entry{ID: id, Origin: b.origin})
	}
	for _, x := range s.stored {
		if o, exists := x.Find(id); exists {
			all.Add(lineage.Entry{ID: id, Origin: o})
		}
	}
	return all.Find(id)
}

// Known returns the origin of a stream that this process began or has read of, for other gateways.
func (s *Service) Known(id lineage.ID) lineage.Origin {
	o, _ := s.known(id)
	return o
}

// askPeers asks the nearest gateways for a stream that the store doesn't show. The one that began it
// knows it, also if it is cut off from the store or the store is away.
func (s *Service) askPeers(ctx context.Context, id lineage.ID) lineage.Origin {
	if s.peers == nil {
		return lineage.Origin{}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	type answer struct {
		lineage.Answer
		peer netip.AddrPort
	}
	answers := make(chan answer, maxPeers)
	peers := gateway.Nearest(s.fleet.Members(), s.instance, maxPeers)
	for _, peer := range peers {
		go func() {
			a, err := s.peers.Origin(ctx, peer, id)
			if err != nil {
				s.log.Debug("peer not asked for the origin of a stream", "peer", peer, "error", err)
			}
			answers <- answer{a, peer}
		}()
	}
	all := lineage.NewIndex()
	var gateways []netip.AddrPort
	for range peers {
		a := <-answers
		if a.Origin.Known() {
			all.Add(lineage.Entry{ID: id, Origin: a.Origin})
		}
		if a.Participant {
			gateways = append(gateways, a.peer)
		}
	}
	s.recordParticipants(time.Now(), id, gateways)
	o, _ := all.Find(id)
	return o
}

// joinRead returns the read that is under way, or begins one. It returns an error if the last one failed
// just before.
func (s *Service) joinRead(since time.Time) (*read, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.reading
	if failedAt := r.failedAt(); !failedAt.IsZero() && since.Sub(failedAt) < failedReadTime {
		return nil, r.err
	}
	if r != nil {
		select {
		case <-r.done:
		default:
			return r, nil
		}
	}
	if s.ctx.Err() != nil {
		return nil, errors.WithStack(s.ctx.Err())
	}
	r = &read{beganAt: time.Now(), done: make(chan struct{})}
	s.reading = r
	s.running.Go(func() { s.readAll(r) })
	return r, nil
}

// readAll reads all partitions. The streams of one that can't be read are those of the last read.
func (s *Service) readAll(r *read) {
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	var reads sync.WaitGroup
	var errs [partitions]error
	for n := range partitions {
		reads.Go(func() {
			snapshot, err := s.store.Snapshot(ctx, s.partition(n))
			if err != nil {
				errs[n] = err
				return
			}
			x, recorders := s.index(snapshot.Records)
			s.mu.Lock()
			s.stored[n], s.recorders[n] = x, recorders
			s.mu.Unlock()
		})
	}
	reads.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, err := range errs {
		if err != nil && r.err == nil {
			r.err = err
		}
	}
	r.endedAt = time.Now()
	close(r.done)
}
