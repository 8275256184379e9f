package fleet

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/modules/codec"
)

// record is an event on the wire: exactly one field is set.
type record struct {
	Publish   *Publish   `json:"publish,omitempty"`
	PlanStop  *PlanStop  `json:"planStop,omitempty"`
	EndStop   *EndStop   `json:"endStop,omitempty"`
	Register  *Register  `json:"register,omitempty"`
	Retire    *Retire    `json:"retire,omitempty"`
	Fence     *Fence     `json:"fence,omitempty"`
	OwnerHint *OwnerHint `json:"ownerHint,omitempty"`
}

// UnknownEventError says that a record holds no event that this version knows.
type UnknownEventError struct {
	Size int
}

// Error implements error.
func (e *UnknownEventError) Error() string {
	return fmt.Sprintf("a control record of %d bytes holds no known event", e.Size)
}

// EncodeEvent returns the event's record.
func EncodeEvent(event Event) ([]byte, error) {
	var r record
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

// DecodeEvent returns the event in the record.
func DecodeEvent(data []byte) (Event, error) {
	var r record
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

// Snapshot returns the whole state, for checkpoints and for newcomers.
func (s *State) Snapshot() ([]byte, error) {
	return codec.Marshal(s)
}

// Restore returns the state that a snapshot holds.
func Restore(data []byte) (*State, error) {
	s := New()
	if err := codec.Unmarshal(data, s); err != nil {
		return nil, err
	}
	if s.Tables == nil {
		return nil, errors.New("a snapshot without tables")
	}
	s.fillMaps()
	return s, nil
}

// Newer returns the state that holds more of the stream, so that a process
// never goes back.
func (s *State) Newer(other *State) *State {
	if other.Next > s.Next {
		return other
	}
	return s
}

// fillMaps makes up for maps that the encoding leaves out when empty.
func (s *State) fillMaps() {
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
