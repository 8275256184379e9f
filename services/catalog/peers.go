package catalog

import (
	"context"
	"time"

	"github.com/crocusline/crocusline/models/record"
)

const (
	// silence is how long the store may be away before peers are asked.
	silence     = 1200 * time.Millisecond
	askInterval = time.Second
	askTimeout  = 500 * time.Millisecond
)

// Snapshot is what one entry knows, as records of the store.
type Snapshot struct {
	Tables  record.Record   `json:"tables"`
	Servers []record.Record `json:"servers"`
	// NextOffset is the offset up to which the servers' topic was read; 0 if it was not.
	NextOffset int64 `json:"next"`
}

// Peers are other entries.
type Peers interface {
	// Snapshot returns what one of them knows; turn chooses which.
	Snapshot(ctx context.Context, turn int) (Snapshot, error)
}

// Snapshot returns what this entry knows.
func (s *Service) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := Snapshot{Tables: s.config, NextOffset: s.next}
	for _, r := range s.raw {
		snapshot.Servers = append(snapshot.Servers, r)
	}
	return snapshot
}

// askPeers asks one peer after the other while the store is away.
func (s *Service) askPeers(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if s.tables.Age() < silence && s.servers.Age() < silence {
			continue
		}
		ask, cancel := context.WithTimeout(ctx, askTimeout)
		snapshot, err := s.peers.Snapshot(ask, turn)
		cancel()
		if err != nil {
			s.log.Debug("peer gave no tables", "turn", turn, "error", err)
			continue
		}
		s.merge(snapshot)
	}
}

// merge takes what a peer knows and this entry doesn't.
func (s *Service) merge(snapshot Snapshot) {
	if snapshot.Tables.Value != nil {
		s.adopt(snapshot.Tables, "peer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.NextOffset <= s.next {
		return
	}
	now := time.Now()
	listed := map[string]bool{}
	for _, r := range snapshot.Servers {
		listed[r.Key] = true
		s.putServer(r, now)
	}
	for id := range s.raw {
		if !listed[id] {
			s.removeServer(id, now)
		}
	}
	s.listed, s.next = true, snapshot.NextOffset
	s.refresh(now)
}
