package catalog

import (
	"context"
	"time"

	"github.com/crocusline/crocusline/models/record"
)

const (
	// maxStoreSilence is how long the store may not respond to the reads of a topic before
	// snapshots are requested from peers.
	maxStoreSilence  = 1200 * time.Millisecond
	peerPollInterval = time.Second
	peerTimeout      = 500 * time.Millisecond
)

// Snapshot is the state of a gateway's catalog, as records of the store.
type Snapshot struct {
	Tables  record.Record   `json:"tables"`
	Servers []record.Record `json:"servers"`
	// NextOffset is the offset up to which the servers' topic was read; 0 if it has not
	// been read.
	NextOffset int64 `json:"next"`
}

// Peers requests snapshots from other gateways.
type Peers interface {
	// Snapshot returns the snapshot of one peer. The attempt number selects the peer, in
	// rotation.
	Snapshot(ctx context.Context, attempt int) (Snapshot, error)
}

// Snapshot returns the state of this catalog.
func (s *Service) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := Snapshot{Tables: s.tableRecord, NextOffset: s.nextOffset}
	for _, r := range s.serverRecords {
		snapshot.Servers = append(snapshot.Servers, r)
	}
	return snapshot
}

// pollPeers requests snapshots from the peers in rotation while the store is
// unreachable.
func (s *Service) pollPeers(ctx context.Context) {
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	for attempt := 0; ; attempt++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if s.tables.Silence() < maxStoreSilence && s.servers.Silence() < maxStoreSilence {
			continue
		}
		requestCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		snapshot, err := s.peers.Snapshot(requestCtx, attempt)
		cancel()
		if err != nil {
			s.log.Debug("peer snapshot not available", "turn", attempt, "error", err)
			continue
		}
		s.mergeSnapshot(snapshot)
	}
}

// mergeSnapshot applies the parts of a peer's snapshot that are newer than this
// catalog.
func (s *Service) mergeSnapshot(snapshot Snapshot) {
	if snapshot.Tables.Value != nil {
		s.applyTable(snapshot.Tables, "peer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.NextOffset <= s.nextOffset {
		return
	}
	now := time.Now()
	listed := map[string]bool{}
	for _, r := range snapshot.Servers {
		listed[r.Key] = true
		s.putServer(r, now)
	}
	for id := range s.serverRecords {
		if !listed[id] {
			s.removeServer(id, now)
		}
	}
	s.serversLoaded, s.nextOffset = true, snapshot.NextOffset
	s.refresh(now)
}
