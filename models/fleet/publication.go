package fleet

import (
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/table"
)

func (s *State) publish(at time.Time, e Publish) Result {
	if done, known := s.Published(e.ID); known {
		return ignored(Duplicate, "publication %s took effect as version %d", e.ID, done.Version)
	}
	tables, err := s.Tables.Apply(e.Delta)
	if err != nil {
		lost := ignored(BaseMoved, "%v", err)
		lost.Winner = s.winner(e.Delta.Base)
		return lost
	}
	s.Tables = tables
	s.remember(Publication{ID: e.ID, By: e.By, Base: e.Delta.Base, Time: at})
	return Applied{Version: s.Version()}
}

// winner returns the publication that was made from the base.
func (s *State) winner(base int64) Publication {
	for _, p := range s.History {
		if p.Server == "" && p.Base == base {
			return p
		}
	}
	return Publication{}
}

func (s *State) planStop(at time.Time, e PlanStop) Result {
	if done, known := s.Published(e.ID); known {
		return ignored(Duplicate, "stop %s took effect as version %d", e.ID, done.Version)
	}
	if !s.Tables.HasServer(e.Server) {
		return ignored(UnknownServer, "no pool names the backend server %q", e.Server)
	}
	if stop, planned := s.Tables.Stops[e.Server]; planned {
		return ignored(AlreadyDone, "a stop of %q is planned by %s", e.Server, stop.By)
	}
	s.Tables = s.Tables.PlanStop(e.Server, table.Stop{ID: e.ID, By: e.By, Since: at})
	s.remember(Publication{ID: e.ID, By: e.By, Time: at, Server: e.Server})
	return Applied{Version: s.Version()}
}

func (s *State) endStop(at time.Time, e EndStop) Result {
	if done, known := s.Published(e.ID); known {
		return ignored(Duplicate, "end of stop %s took effect as version %d", e.ID, done.Version)
	}
	if !s.Tables.Stopping(e.Server) {
		return ignored(AlreadyDone, "no stop of %q is planned", e.Server)
	}
	s.Tables = s.Tables.EndStop(e.Server)
	s.remember(Publication{ID: e.ID, By: e.By, Time: at, Server: e.Server})
	return Applied{Version: s.Version()}
}

// remember adds an operator's change, whose version is the one now in force.
func (s *State) remember(p Publication) {
	p.Version = s.Version()
	keep := s.History
	if len(keep) >= historyLength {
		keep = keep[1:]
	}
	s.History = append(slices.Clone(keep), p)
}
