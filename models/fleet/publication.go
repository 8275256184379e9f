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
		return ignoredChange("publication", err)
	}
	tables, err := s.Tables.Apply(e.Delta)
	if err != nil {
		return ignored(BaseMoved, "%v", err)
	}
	return s.setTables(tables, versions)
}

func (s *State) planStop(at time.Time, e PlanStop) Result {
	versions, err := s.versions().Amend(version.Change{ID: e.ID, By: e.By, Time: at, Subject: e.Server})
	if err != nil {
		return ignoredChange("stop", err)
	}
	if !s.Tables.HasServer(e.Server) {
		return ignored(UnknownServer, "no pool names the backend server %q", e.Server)
	}
	if stop, planned := s.Tables.Stops[e.Server]; planned {
		return ignored(AlreadyDone, "a stop of %q is planned by %s", e.Server, stop.By)
	}
	return s.setTables(s.Tables.WithPlannedStop(e.Server, table.Stop{ID: e.ID, By: e.By, Since: at}), versions)
}

func (s *State) endStop(at time.Time, e EndStop) Result {
	versions, err := s.versions().Amend(version.Change{ID: e.ID, By: e.By, Time: at, Subject: e.Server})
	if err != nil {
		return ignoredChange("end of stop", err)
	}
	if !s.Tables.HasPlannedStop(e.Server) {
		return ignored(AlreadyDone, "no stop of %q is planned", e.Server)
	}
	return s.setTables(s.Tables.WithoutPlannedStop(e.Server), versions)
}

// ignoredChange returns the result of a change that version.Table rejected.
func ignoredChange(kind string, err error) Ignored {
	var duplicate *version.DuplicateError
	if errors.As(err, &duplicate) {
		return ignored(Duplicate, "%s %s took effect as version %d", kind, duplicate.Applied.ID, duplicate.Applied.Version)
	}
	result := ignored(BaseMoved, "%v", err)
	var moved *version.BaseError
	if errors.As(err, &moved) {
		result.Winner = publicationFrom(moved.Winner)
	}
	return result
}

// versions returns the version numbers and the history of the tables.
func (s *State) versions() version.Table {
	t := version.Table{Version: s.Tables.Version, Published: s.Tables.Published}
	for _, p := range s.History {
		t.History = append(t.History, version.Change{
			ID: p.ID, By: p.By, Base: p.Base, Version: p.Version, Time: p.Time, Subject: p.Server,
		})
	}
	return t
}

// setTables replaces the tables and their versions.
func (s *State) setTables(tables *table.Tables, versions version.Table) Result {
	s.Tables = tables
	s.Tables.Version, s.Tables.Published = versions.Version, versions.Published
	s.History = make([]Publication, len(versions.History))
	for i, c := range versions.History {
		s.History[i] = publicationFrom(c)
	}
	return Applied{Version: s.Version()}
}

func publicationFrom(c version.Change) Publication {
	return Publication{ID: c.ID, By: c.By, Base: c.Base, Version: c.Version, Time: c.Time, Server: c.Subject}
}
