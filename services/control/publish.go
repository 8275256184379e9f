package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/services/stream"
)

// Publish appends the event and returns what it did, once it was read back at
// its place in the stream. After a *stream.UnresolvedError the event may take
// effect, even later; publishing it again under the same ID is safe.
func (s *Service) Publish(ctx context.Context, event fleet.Event) (fleet.Result, error) {
	body, err := fleet.EncodeEvent(event)
	if err != nil {
		return nil, err
	}
	answer := s.fold.expect(string(body))
	defer s.fold.forget(string(body), answer)
	_, err = s.stream.Append(ctx, body)
	s.catchUp()
	select {
	case result := <-answer:
		s.counters.count(result)
		return result, nil
	default:
	}
	return s.settle(event, err)
}

// catchUp takes up the state that the fold holds now, so that whoever has
// published sees the effect in State.
func (s *Service) catchUp() {
	var state *fleet.State
	s.stream.View(func(st stream.Status) {
		if st.Ready {
			state = s.fold.state
		}
	})
	if state != nil {
		s.adopt(state)
	}
}

// settle looks for the event in the history when its own record was not seen,
// because a checkpoint covers it.
func (s *Service) settle(event fleet.Event, err error) (fleet.Result, error) {
	if done, known := s.State().Published(idOf(event)); known {
		return fleet.Applied{Version: done.Version}, nil
	}
	if err == nil {
		err = errors.New("record read back, but not its effect")
	}
	s.counters.unresolved.Inc()
	return nil, errors.WithMessage(err, "publish")
}

// idOf returns the ID of an operator's change, or "".
func idOf(event fleet.Event) string {
	switch e := event.(type) {
	case fleet.Publish:
		return e.ID
	case fleet.PlanStop:
		return e.ID
	case fleet.EndStop:
		return e.ID
	default:
		return ""
	}
}
