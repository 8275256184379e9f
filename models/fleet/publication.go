package fleet

import (
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/version"
	"github.com/crocusline/crocusline/models/table"
)

func (s *State) publish(at time.Time, e Publish) Result {
	change := version.Change{ID: e.ID, By: e.By, Base: e.Delta.Base, Time: at}
	versions, err := s.versions().Replace(change)
	if err != nil {
		return refused("publication", err)
	}
	tables, err := s.Tables.Apply(e.Delta)
	if err != nil {
		return ignored(BaseMoved, "%v", err)
	}
	return s.adopt(tables, versions)
}

func (s *State) planStop(at time.Time, e PlanStop) Result {
	versions, err := s.versions().Amend(version.Change{ID: e.ID, By: e.By, Time: at, Subject: e.Server})
	if err != nil {
		return refused("stop", err)
	}
	if !s.Tables.HasServer(e.Server) {
		return ignored(UnknownServer, "no pool names the backend server %q", e.Server)
	}
	if stop, planned := s.Tables.Stops[e.Server]; planned {
		return ignored(AlreadyDone, "a stop of %q is planned by %s", e.Server, stop.By)
	}
	return s.adopt(s.Tables.WithPlannedStop(e.Server, table.Stop{ID: e.ID, By: e.By, Since: at}), versions)
}

func (s *State) endStop(at time.Time, e EndStop) Result {
	versions, err := s.versions().Amend(version.Change{ID: e.ID, By: e.By, Time: at, Subject: e.Server})
	if err != nil {
		return refused("end of stop", err)
	}
	if !s.Tables.HasPlannedStop(e.Server) {
		return ignored(AlreadyDone, "no stop of %q is planned", e.Server)
	}
	return s.adopt(s.Tables.WithoutPlannedStop(e.Server), versions)
}

// refused is the result of a change that the versions do not take.
func refused(what string, err error) Ignored {
	var duplicate *version.DuplicateError
	if errors.As(err, &duplicate) {
		return ignored(Duplicate, "%s %s took effect as version %d", what, duplicate.Done.ID, duplicate.Done.Version)
	}
	lost := ignored(BaseMoved, "%v", err)
	var moved *version.BaseError
	if errors.As(err, &moved) {
		lost.Winner = publicationOf(moved.Winner)
	}
	return lost
}

// versions returns the versions of the tables and who made them.
func (s *State) versions() version.Table {
	t := version.Table{Version: s.Tables.Version, Published: s.Tables.Published}
	for _, p := range s.History {
		t.History = append(t.History, version.Change{
			ID: p.ID, By: p.By, Base: p.Base, Version: p.Version, Time: p.Time, Subject: p.Server,
		})
	}
	return t
}

// adopt puts the tables after a change in force, with their versions.
func (s *State) adopt(tables *table.Tables, versions version.Table) Result {
	s.Tables = tables
	s.Tables.Version, s.Tables.Published = versions.Version, versions.Published
	s.History = make([]Publication, len(versions.History))
	for i, c := range versions.History {
		s.History[i] = publicationOf(c)
	}
	return Applied{Version: s.Version()}
}

func publicationOf(c version.Change) Publication {
	return Publication{ID: c.ID, By: c.By, Base: c.Base, Version: c.Version, Time: c.Time, Server: c.Subject}
}
