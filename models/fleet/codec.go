package fleet

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/modules/codec"
)

// eventRecord is the encoding of an event. Exactly one field is set.
type eventRecord struct {
	Publish   *Publish   `json:"publish,omitempty"`
	PlanStop  *PlanStop  `json:"planStop,omitempty"`
	EndStop   *EndStop   `json:"endStop,omitempty"`
	Register  *Register  `json:"register,omitempty"`
	Retire    *Retire    `json:"retire,omitempty"`
	Fence     *Fence     `json:"fence,omitempty"`
	OwnerHint *OwnerHint `json:"ownerHint,omitempty"`
}

// UnknownEventError is returned for a record without an event that this release can
// decode.
type UnknownEventError struct {
	Size int
}

// Error implements error.
func (e *UnknownEventError) Error() string {
	return fmt.Sprintf("control record of %d bytes contains no known event", e.Size)
}

// EncodeEvent encodes an event as a record.
func EncodeEvent(event Event) ([]byte, error) {
	var r eventRecord
	switch e := event.(type) {
	case Publish:
		r.Publish = &e
	case PlanStop:
		r.PlanStop = &e
	case EndStop:
		r.EndStop = &e
	case Register:
		r.Register = &e
	case Retire:
		r.Retire = &e
	case Fence:
		r.Fence = &e
	case OwnerHint:
		r.OwnerHint = &e
	default:
		return nil, errors.Errorf("cannot encode event %T", event)
	}
	return codec.Marshal(r)
}

// DecodeEvent returns the event that a record contains.
func DecodeEvent(data []byte) (Event, error) {
	var r eventRecord
	if err := codec.Unmarshal(data, &r); err != nil {
		return nil, err
	}
	switch {
	case r.Publish != nil:
		return *r.Publish, nil
	case r.PlanStop != nil:
		return *r.PlanStop, nil
	case r.EndStop != nil:
		return *r.EndStop, nil
	case r.Register != nil:
		return *r.Register, nil
	case r.Retire != nil:
		return *r.Retire, nil
	case r.Fence != nil:
		return *r.Fence, nil
	case r.OwnerHint != nil:
		return *r.OwnerHint, nil
	default:
		return nil, &UnknownEventError{Size: len(data)}
	}
}

// Snapshot encodes the whole state, for checkpoints and for processes that start.
func (s *State) Snapshot() ([]byte, error) {
	return codec.Marshal(s)
}

// Restore decodes a snapshot.
func Restore(data []byte) (*State, error) {
	s := New()
	if err := codec.Unmarshal(data, s); err != nil {
		return nil, err
	}
	if s.Tables == nil {
		return nil, errors.New("snapshot contains no tables")
	}
	s.initMaps()
	return s, nil
}

// Newer returns the state at the higher offset of the stream, so that a process
// never replaces its state by an older one.
func (s *State) Newer(other *State) *State {
	if other.Next > s.Next {
		return other
	}
	return s
}

// initMaps creates the maps that the encoding omits if they are empty.
func (s *State) initMaps() {
	empty := New()
	if s.Members == nil {
		s.Members = empty.Members
	}
	if s.Ended == nil {
		s.Ended = empty.Ended
	}
	if s.Owners == nil {
		s.Owners = empty.Owners
	}
	if s.Tables.Routes == nil {
		s.Tables.Routes = table.New().Routes
	}
	if s.Tables.Pools == nil {
		s.Tables.Pools = table.New().Pools
	}
	if s.Tables.Workspaces == nil {
		s.Tables.Workspaces = table.New().Workspaces
	}
	if s.Tables.Stops == nil {
		s.Tables.Stops = table.New().Stops
	}
}
