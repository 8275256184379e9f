// Package version decides which of several racing changes of a table wins.
//
// A Table is pure state, to be folded from an ordered log. A replacement names
// the published version that it was made from, and takes effect only if that is
// still the published one: of several made from one base, the first in the log
// wins. An amendment takes effect whatever the base, and does not move it. The
// content of the table is kept by the caller, beside the Table.
package version

import (
	"fmt"
	"slices"
	"time"
)

// MaxHistoryLength is how many changes are remembered, to recognise a second
// record of one and to name the winner of a race.
const MaxHistoryLength = 256

// Change is a change of the table.
type Change struct {
	// ID is unique. A second change of the same ID has no effect.
	ID string
	// By is who made the change.
	By string
	// Base is the published version that a replacement was made from.
	Base int64
	// Version is the table's version after the change. Replace and Amend set it.
	Version int64
	// Time is the log's time of the change.
	Time time.Time
	// Subject is what an amendment is about. It is empty for a replacement.
	Subject string
}

// Table is the versions of a table at one position of the log. The zero Table
// is at version 0. It never changes: Replace and Amend return a new one.
type Table struct {
	// Version grows by one with every change.
	Version int64
	// Published is the version of the last replacement.
	Published int64
	// History holds the last changes that took effect, the oldest first.
	History []Change
}

// DuplicateError says that a change took effect before.
type DuplicateError struct {
	// Applied is the change that took effect.
	Applied Change
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("change %s took effect as version %d", e.Applied.ID, e.Applied.Version)
}

// BaseError says that a replacement was made from a version that is not the
// published one.
type BaseError struct {
	Base      int64
	Published int64
	// Winner is the replacement made from the same base that took effect, or
	// the zero Change if none is remembered.
	Winner Change
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("based on version %d, but version %d is published", e.Base, e.Published)
}

// Find returns the change with the ID, if it took effect and is remembered.
func (t Table) Find(id string) (Change, bool) {
	for _, c := range t.History {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// Replace returns the table after the replacement. The error is a
// *DuplicateError or a *BaseError, and the table is then as it was.
func (t Table) Replace(c Change) (Table, error) {
	if done, known := t.Find(c.ID); known {
		return t, &DuplicateError{Applied: done}
	}
	if c.Base != t.Published {
		return t, &BaseError{Base: c.Base, Published: t.Published, Winner: t.winner(c.Base)}
	}
	c.Subject = ""
	next := t.with(c)
	next.Published = next.Version
	return next, nil
}

// Amend returns the table after the amendment, which needs a subject. The error
// is a *DuplicateError, and the table is then as it was.
func (t Table) Amend(c Change) (Table, error) {
	if done, known := t.Find(c.ID); known {
		return t, &DuplicateError{Applied: done}
	}
	return t.with(c), nil
}

// Newer returns the one of two tables of the same log that holds more changes,
// so that who adopts another's table never goes back.
func (t Table) Newer(other Table) Table {
	if other.Version > t.Version {
		return other
	}
	return t
}

// winner returns the replacement that was made from the base.
func (t Table) winner(base int64) Change {
	for _, c := range t.History {
		if c.Subject == "" && c.Base == base {
			return c
		}
	}
	return Change{}
}

// with returns the table with the change as its newest.
func (t Table) with(c Change) Table {
	t.Version++
	c.Version = t.Version
	keep := t.History
	if len(keep) >= MaxHistoryLength {
		keep = keep[1:]
	}
	t.History = append(slices.Clone(keep), c)
	return t
}
