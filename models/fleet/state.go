package fleet

import (
	"maps"
	"time"

	"github.com/crocusline/crocusline/models/table"
)

// endedRetention is how long, by the log's clock, an ended incarnation is kept in
// Ended, so that a delayed record can't register it again.
const endedRetention = 7 * 24 * time.Hour

// State is the state of the fleet at one offset of the control stream. It is
// immutable: Apply returns a new one.
type State struct {
	// Next is the offset of the first event that is not applied yet.
	Next    int64             `json:"next"`
	Tables  *table.Tables     `json:"tables"`
	Members map[string]Member `json:"members,omitempty"`
	// Ended are the incarnations that have ended, with the times of their ends.
	Ended   map[string]time.Time `json:"ended,omitempty"`
	Owners  map[int]Owner        `json:"owners,omitempty"`
	History []Publication        `json:"history,omitempty"`
}

// Publication is an operator's change that took effect.
type Publication struct {
	ID      string    `json:"id"`
	By      string    `json:"by"`
	Base    int64     `json:"base"`
	Version int64     `json:"version"`
	Time    time.Time `json:"time"`
	// Server is set if a stop was planned or cancelled.
	Server string `json:"server,omitempty"`
}

// New returns the state at the start of the stream.
func New() *State {
	return &State{
		Tables:  table.New(),
		Members: map[string]Member{},
		Ended:   map[string]time.Time{},
		Owners:  map[int]Owner{},
	}
}

// Apply returns the state after the event at the offset, and the event's result. An
// event at an offset that was applied before has no effect.
func (s *State) Apply(offset int64, at time.Time, event Event) (*State, Result) {
	next, results := s.ApplyAll(offset, at, event)
	return next, results[0]
}

// ApplyAll is like Apply for the events of one record, which are applied in order.
// A nil event stands for one that this release can't decode, and has no effect.
func (s *State) ApplyAll(offset int64, at time.Time, events ...Event) (*State, []Result) {
	results := make([]Result, len(events))
	if offset < s.Next {
		for i := range results {
			results[i] = ignored(Duplicate, "offset %d is already applied", offset)
		}
		return s, results
	}
	next := *s
	next.Next = offset + 1
	for i, event := range events {
		results[i] = next.apply(at.UTC(), event)
	}
	return &next, results
}

// Version returns the version of the current tables.
func (s *State) Version() int64 {
	return s.Tables.Version
}

// FindPublication returns the operator's change with the ID, if it took effect and is
// still in the history.
func (s *State) FindPublication(id string) (Publication, bool) {
	change, known := s.versions().Find(id)
	return publicationFrom(change), known
}

// HasEnded reports whether the incarnation has ended. An ended incarnation can't
// register again.
func (s *State) HasEnded(incarnation string) bool {
	_, ended := s.Ended[incarnation]
	return ended
}

// SidecarFor returns the sidecar of the backend server.
func (s *State) SidecarFor(server string) (Member, bool) {
	for _, m := range s.Members {
		if m.Role == Sidecar && m.Server == server {
			return m, true
		}
	}
	return Member{}, false
}

func (s *State) apply(at time.Time, event Event) Result {
	switch e := event.(type) {
	case Publish:
		return s.publish(at, e)
	case PlanStop:
		return s.planStop(at, e)
	case EndStop:
		return s.endStop(at, e)
	case Register:
		return s.register(at, e.Member)
	case Retire:
		return s.endIncarnation(at, e.Incarnation)
	case Fence:
		return s.endIncarnation(at, e.Incarnation)
	case OwnerHint:
		return s.setOwner(e)
	default:
		return ignored(UnknownEvent, "unknown event %T", event)
	}
}

func (s *State) register(at time.Time, m Member) Result {
	if s.HasEnded(m.Incarnation) {
		return ignored(Gone, "incarnation %s has ended", m.Incarnation)
	}
	if _, known := s.Members[m.Incarnation]; known {
		return ignored(AlreadyDone, "incarnation %s is registered", m.Incarnation)
	}
	members := maps.Clone(s.Members)
	for incarnation, other := range s.Members {
		if other.replacedBy(m) {
			delete(members, incarnation)
			s.markEnded(at, incarnation)
		}
	}
	members[m.Incarnation] = m
	s.Members = members
	return Applied{Version: s.Version()}
}

// replacedBy reports whether the newer member replaces m, because both have the same
// name or the same backend server.
func (m Member) replacedBy(newer Member) bool {
	if m.Role != newer.Role {
		return false
	}
	return m.Name == newer.Name || m.Server != "" && m.Server == newer.Server
}

func (s *State) endIncarnation(at time.Time, incarnation string) Result {
	if s.HasEnded(incarnation) {
		return ignored(AlreadyDone, "incarnation %s has ended", incarnation)
	}
	s.markEnded(at, incarnation)
	s.Members = maps.Clone(s.Members)
	delete(s.Members, incarnation)
	return Applied{Version: s.Version()}
}

func (s *State) markEnded(at time.Time, incarnation string) {
	s.Ended = maps.Clone(s.Ended)
	maps.DeleteFunc(s.Ended, func(_ string, endedAt time.Time) bool {
		return at.Sub(endedAt) > endedRetention
	})
	s.Ended[incarnation] = at
}

func (s *State) setOwner(e OwnerHint) Result {
	if known, ok := s.Owners[e.Shard]; ok && e.Owner.Epoch <= known.Epoch {
		return ignored(OldEpoch, "shard %d is at epoch %d", e.Shard, known.Epoch)
	}
	s.Owners = maps.Clone(s.Owners)
	s.Owners[e.Shard] = e.Owner
	return Applied{Version: s.Version()}
}
