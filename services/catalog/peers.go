package catalog

import (
	"context"
	"math"
	"time"

	"github.com/crocusline/crocusline/models/evacuation"
	"github.com/crocusline/crocusline/models/record"
)

const (
	// maxStoreSilence is how long the store may not respond to the reads of a topic before
	// snapshots are requested from peers.
	maxStoreSilence  = 1200 * time.Millisecond
	peerPollInterval = time.Second
	// firstPeerPoll is when peers are first asked after the start. The store has responded by then, unless it is slow
	// or unreachable.
	firstPeerPoll = 250 * time.Millisecond
)

// NoVersion is the version of tables that were never loaded.
const NoVersion = -1

// Known is what a catalog has already. A peer leaves it out of its snapshot.
type Known struct {
	// TablesVersion is the version of the tables, or NoVersion.
	TablesVersion int64
	// Servers is the position up to which the servers' topic was read.
	Servers record.Position
}

// allKnown makes a peer leave out the tables and the servers.
var allKnown = Known{TablesVersion: math.MaxInt64, Servers: record.Position{Era: math.MaxInt64, Next: math.MaxInt64}}

// Snapshot is the state of a gateway's catalog, as records of the store.
type Snapshot struct {
	// Tables is empty if they are not newer than those that the caller knows.
	Tables record.Record `json:"tables"`
	// Servers is empty if the position is not beyond that of the caller.
	Servers []record.Record `json:"servers"`
	// NextOffset is the offset up to which the servers' topic was read, in the store's Era; 0 if it
	// has not been read.
	NextOffset int64 `json:"next"`
	Era        int64 `json:"era,omitempty"`
	// TablesAge is the time since the sender's tables were known to be the newest ones, or
	// nil if the sender doesn't tell.
	TablesAge *time.Duration `json:"tablesAgeNs,omitempty"`
	// Evacuations is nil if the sender doesn't tell, or has read none.
	Evacuations *evacuation.Snapshot `json:"evacuations,omitempty"`
}

func (s Snapshot) position() record.Position { return record.Position{Era: s.Era, Next: s.NextOffset} }

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
	snapshot := Snapshot{NextOffset: s.position.Next, Era: s.position.Era, TablesAge: &age, Evacuations: s.evacuations.Snapshot(time.Now())}
	if t := s.table.Load(); t != nil && t.Version > known.TablesVersion {
		snapshot.Tables = s.tableRecord
	}
	if known.Servers.Before(s.position) {
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
	known := Known{TablesVersion: NoVersion, Servers: s.position}
	if t := s.table.Load(); t != nil {
		known.TablesVersion = t.Version
	}
	return known
}

// pollPeers requests snapshots from the peers in rotation.
func (s *Service) pollPeers(ctx context.Context) {
	timer := time.NewTimer(firstPeerPoll)
	defer timer.Stop()
	for attempt := 0; ; attempt++ {
		select {
		case <-timer.C:
			timer.Reset(peerPollInterval)
			s.pollPeer(ctx, attempt)
		case <-ctx.Done():
			return
		}
	}
}

// pollPeer requests a snapshot from a peer if the store is unreachable. While it is reachable, the peer is asked for
// evacuations only, if it may know some that this process doesn't.
func (s *Service) pollPeer(ctx context.Context, attempt int) {
	silent := s.tables.Silence() >= maxStoreSilence || s.servers.Silence() >= maxStoreSilence
	if !silent && !s.joining() && !s.evacuationsLate() {
		return
	}
	known := allKnown
	if silent {
		known = s.known()
	}
	requestedAt := s.clock.Elapsed()
	snapshot, err := s.peers.Snapshot(ctx, attempt, known)
	switch {
	case err != nil:
		s.log.Debug("peer snapshot not available", "turn", attempt, "error", err)
	case silent:
		s.mergeSnapshot(snapshot, requestedAt)
	default:
		s.mergeEvacuations(snapshot.Evacuations)
	}
}

// mergeSnapshot applies the parts of a peer's snapshot, requested at a time, that are newer
// than this catalog.
func (s *Service) mergeSnapshot(snapshot Snapshot, requestedAt time.Duration) {
	// Evacuations come first, as in a read of the store.
	s.mergeEvacuations(snapshot.Evacuations)
	// Tables that can't be decoded are newer than those known here.
	tablesKnown := snapshot.Tables.Value == nil || s.applyTable(snapshot.Tables, "peer")
	s.mu.Lock()
	defer s.mu.Unlock()
	if age := snapshot.TablesAge; age != nil && tablesKnown && s.table.Load() != nil {
		if at := requestedAt - *age; s.peerCurrentAt == nil || at > *s.peerCurrentAt {
			s.peerCurrentAt = &at
		}
	}
	if !s.position.Before(snapshot.position()) {
		return
	}
	s.setServers(snapshot.Servers, snapshot.position(), time.Now())
}
