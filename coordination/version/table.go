// Package version implements optimistic concurrency control for a table that is
// changed through an ordered log.
//
// A Table is a deterministic state machine: replicas that apply the same log reach
// the same state. A replacement specifies its base, the published version on which it
// is based, and takes effect only if the base is still the published version. Of
// several replacements with the same base, the first in the log takes effect. An
// amendment takes effect regardless of the published version and does not change it.
// A Table contains only versions; the caller stores the table's content.
package version

import (
	"fmt"
	"slices"
	"time"
)

// MaxHistoryLength is the maximum number of changes in the history. The history is
// used to detect duplicates of a change and to find the replacement that took effect
// instead of a rejected one.
const MaxHistoryLength = 256

// Change is a change of the table, either a replacement or an amendment.
type Change struct {
	// ID is unique. A second change with the same ID has no effect.
	ID string
	// By is the author of the change.
	By string
	// Base is the published version on which a replacement is based.
	Base int64
	// Version is the table's version after the change. Replace and Amend set it.
	Version int64
	// Time is the log time of the change.
	Time time.Time
	// Subject identifies what an amendment changes. It is empty for a replacement.
	Subject string
}

// Table contains the version numbers and the history of a table at one position of the
// log. The zero Table has version 0. A Table is immutable: Replace and Amend return a
// new one.
type Table struct {
	// Version increases by one with every change.
	Version int64
	// Published is the version of the last replacement.
	Published int64
	// History contains the most recent changes that took effect, the oldest first.
	History []Change
}

// DuplicateError reports that a change with the same ID has already taken effect.
type DuplicateError struct {
	// Applied is the earlier change.
	Applied Change
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("change %s took effect as version %d", e.Applied.ID, e.Applied.Version)
}

// BaseError reports that the base of a replacement is not the published version.
type BaseError struct {
	Base      int64
	Published int64
	// Winner is the replacement with the same base that took effect, or the zero
	// Change if it is not in the history.
	Winner Change
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("based on version %d, but version %d is published", e.Base, e.Published)
}

// Find returns the change with the ID if it is in the history.
func (t Table) Find(id string) (Change, bool) {
	for _, c := range t.History {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// Replace returns the table after a replacement. If the error is a *DuplicateError or a
// *BaseError, the table is unchanged.
func (t Table) Replace(c Change) (Table, error) {
	if applied, found := t.Find(c.ID); found {
		return t, &DuplicateError{Applied: applied}
	}
	if c.Base != t.Published {
		return t, &BaseError{Base: c.Base, Published: t.Published, Winner: t.winner(c.Base)}
	}
	c.Subject = ""
	next := t.appendChange(c)
	next.Published = next.Version
	return next, nil
}

// Amend returns the table after an amendment, which must have a subject. If the error is
// a *DuplicateError, the table is unchanged.
func (t Table) Amend(c Change) (Table, error) {
	if applied, found := t.Find(c.ID); found {
		return t, &DuplicateError{Applied: applied}
	}
	return t.appendChange(c), nil
}

// Newer returns the table with the higher version. Both must be from the same log. A
// replica that adopts a table from a peer uses it to avoid reverting to an older one.
func (t Table) Newer(other Table) Table {
	if other.Version > t.Version {
		return other
	}
	return t
}

// winner returns the replacement with the base that took effect.
func (t Table) winner(base int64) Change {
	for _, c := range t.History {
		if c.Subject == "" && c.Base == base {
			return c
		}
	}
	return Change{}
}

// appendChange returns the table with the change appended to its history.
func (t Table) appendChange(c Change) Table {
	t.Version++
	c.Version = t.Version
	retained := t.History
	if len(retained) >= MaxHistoryLength {
		retained = retained[1:]
	}
	t.History = append(slices.Clone(retained), c)
	return t
}
