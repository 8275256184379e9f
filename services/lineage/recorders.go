package lineage

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/lineage"
)

// maxTold bounds the streams of which gateways are remembered that knew them.
const maxTold = 4096

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

// Recorders returns the other gateways that recorded the stream, or that knew it when they were asked. One that is no
// longer registered has ended.
func (s *Service) Recorders(id lineage.ID) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(s.told[id])
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

// recordTold records which gateways knew of a stream.
func (s *Service) recordTold(id lineage.ID, gateways []netip.AddrPort) {
	if len(gateways) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.told) >= maxTold {
		clear(s.told)
	}
	s.told[id] = gateways
}
