package lineage

import (
	"net/netip"
	"slices"

	"github.com/crocusline/crocusline/models/lineage"
)

// maxTold bounds the streams of which gateways are remembered that knew them.
const maxTold = 4096

// Recorders returns the other gateways that may have begun the stream: the one that recorded it, or those that knew it
// when they were asked. One that is no longer registered has ended.
func (s *Service) Recorders(id lineage.ID) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(s.told[id])
	if s.fleet == nil {
		return all
	}
	members := s.fleet.Members()
	for _, recorders := range s.recorders {
		instance, exists := recorders[id]
		if !exists || instance == s.instance {
			continue
		}
		// Members of older releases have no address.
		if address, err := netip.ParseAddrPort(members[instance].Address); err == nil {
			all = append(all, address)
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
