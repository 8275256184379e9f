package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/services/stream"
)

// Publish appends the event to the stream and returns its result, once the event was
// read back from the stream. After a *stream.UnconfirmedError the event may have taken
// effect or may still do so; publishing it again with the same ID is safe.
func (s *Service) Publish(ctx context.Context, event fleet.Event) (fleet.Result, error) {
	body, err := fleet.EncodeEvent(event)
	if err != nil {
		return nil, err
	}
	waiter := s.replica.addWaiter(string(body))
	defer s.replica.removeWaiter(string(body), waiter)
	_, err = s.stream.Append(ctx, body)
	s.refreshState()
	select {
	case result := <-waiter:
		s.counters.countResult(result)
		return result, nil
	default:
	}
	return s.resultFromHistory(event, err)
}

// refreshState advances the state to the replica's, so that State includes the effect
// of an event after Publish returns.
func (s *Service) refreshState() {
	var state *fleet.State
	s.stream.View(func(st stream.Status) {
		if st.Ready {
			state = s.replica.state
		}
	})
	if state != nil {
		s.advance(state)
	}
}

// resultFromHistory looks up the event in the history of publications. That is needed
// if its record was not read because a later checkpoint was read instead.
func (s *Service) resultFromHistory(event fleet.Event, err error) (fleet.Result, error) {
	if publication, found := s.State().FindPublication(changeID(event)); found {
		return fleet.Applied{Version: publication.Version}, nil
	}
	if err == nil {
		err = errors.New("record appended, but its result is unknown")
	}
	s.counters.unresolved.Inc()
	return nil, errors.WithMessage(err, "publish")
}

// changeID returns the ID of an operator's change, or "" for other events.
func changeID(event fleet.Event) string {
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
