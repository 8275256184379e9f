package lineage

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/lineage"
)

const (
	// maxParticipants bounds the streams whose participants are known from other gateways.
	maxParticipants = 4096
	// participantsLifetime is longer than callers resume a stream.
	participantsLifetime = 2 * time.Minute
)

// participants are gateways that began a stream, or have or know attempts at it.
type participants struct {
	gateways []netip.AddrPort
	since    time.Time
}

// Recorded reports whether this process recorded the stream.
func (s *Service) Recorded(id lineage.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, recorded := s.began[id]
	return recorded
}

// Refresh reads all partitions, unless that was done since the given time.
func (s *Service) Refresh(ctx context.Context, since time.Time) error {
	for {
		s.mu.Lock()
		r := s.reading
		s.mu.Unlock()
		if r == nil || r.beganAt.Before(since) {
			var err error
			if r, err = s.joinRead(since); err != nil {
				return err
			}
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
		if r.err != nil || !r.beganAt.Before(since) {
			return r.err
		}
	}
}

// Recorders returns the other gateways that recorded the stream, or that took part in it when they were asked. One that
// is no longer registered has ended.
func (s *Service) Recorders(id lineage.ID) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(s.participants[id].gateways)
	if s.fleet == nil {
		return all
	}
	members := s.fleet.Members()
	for _, recorders := range s.recorders {
		for _, instance := range recorders[id] {
			if instance == s.instance {
				continue
			}
			// Members of older releases have no address.
			if address, err := netip.ParseAddrPort(members[instance].Address); err == nil {
				all = append(all, address)
			}
		}
	}
	return all
}

// recordParticipants records which gateways took part in a stream. At the bound it forgets the streams asked for
// first.
func (s *Service) recordParticipants(now time.Time, id lineage.ID, gateways []netip.AddrPort) {
	if len(gateways) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.participants[id]; !exists && len(s.participants) >= maxParticipants {
		var first lineage.ID
		since := now
		for other, p := range s.participants {
			if !p.since.After(since) {
				first, since = other, p.since
			}
		}
		delete(s.participants, first)
	}
	s.participants[id] = participants{gateways: gateways, since: now}
}
