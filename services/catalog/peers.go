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
)

// NoVersion is the version of tables that were never loaded.
const NoVersion = -1

// Known is what a catalog has already. A peer leaves it out of its snapshot.
type Known struct {
	// TablesVersion is the version of the tables, or NoVersion.
	TablesVersion int64
	// NextOffset is the offset up to which the servers' topic was read.
	NextOffset int64
}

// Snapshot is the state of a gateway's catalog, as records of the store.
type Snapshot struct {
	// Tables is empty if they are not newer than those that the caller knows.
	Tables record.Record `json:"tables"`
	// Servers is empty if NextOffset is not beyond that of the caller.
	Servers []record.Record `json:"servers"`
	// NextOffset is the offset up to which the servers' topic was read; 0 if it has not
	// been read.
	NextOffset int64 `json:"next"`
	// TablesAge is the time since the sender's tables were known to be the newest ones, or
	// nil if the sender doesn't tell.
	TablesAge *time.Duration `json:"tablesAgeNs,omitempty"`
}

// Peers requests snapshots from other gateways.
type Peers interface {
	// Snapshot returns what one peer has beyond the known state. The attempt number selects
	// the peer, in rotation.
	Snapshot(ctx context.Context, attempt int, known Known) (Snapshot, error)
}

// Snapshot returns what this catalog has beyond the known state.
func (s *Service) Snapshot(known Known) Snapshot {
	age := s.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := Snapshot{NextOffset: s.nextOffset, TablesAge: &age}
	if t := s.table.Load(); t != nil && t.Version > known.TablesVersion {
		snapshot.Tables = s.tableRecord
	}
	if s.nextOffset > known.NextOffset {
		for _, r := range s.serverRecords {
			snapshot.Servers = append(snapshot.Servers, r)
		}
	}
	return snapshot
}

// known returns what this catalog has.
func (s *Service) known() Known {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := Known{TablesVersion: NoVersion, NextOffset: s.nextOffset}
	if t := s.table.Load(); t != nil {
		known.TablesVersion = t.Version
	}
	return known
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
		requestedAt := s.clock.Elapsed()
		snapshot, err := s.peers.Snapshot(ctx, attempt, s.known())
		if err != nil {
			s.log.Debug("peer snapshot not available", "turn", attempt, "error", err)
			continue
		}
		s.mergeSnapshot(snapshot, requestedAt)
	}
}

// mergeSnapshot applies the parts of a peer's snapshot, requested at a time, that are newer
// than this catalog.
func (s *Service) mergeSnapshot(snapshot Snapshot, requestedAt time.Duration) {
	if snapshot.Tables.Value != nil {
		s.applyTable(snapshot.Tables, "peer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if age := snapshot.TablesAge; age != nil && s.table.Load() != nil {
		if at := requestedAt - *age; s.peerCurrentAt == nil || at > *s.peerCurrentAt {
			s.peerCurrentAt = &at
		}
	}
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
