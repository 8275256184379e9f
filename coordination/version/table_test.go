package version_test

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/coordination/version"
	_ "github.com/crocusline/crocusline/tests/fixedseed"
)

// anyChange draws a change that often collides with earlier ones.
func anyChange(t *rapid.T) version.Change {
	c := version.Change{
		ID:   fmt.Sprintf("id%d", rapid.IntRange(0, 20).Draw(t, "id")),
		Base: rapid.Int64Range(0, 8).Draw(t, "base"),
	}
	if rapid.Bool().Draw(t, "amend") {
		c.Subject = "m1"
	}
	return c
}

func apply(t version.Table, c version.Change) (version.Table, error) {
	if c.Subject != "" {
		return t.Amend(c)
	}
	return t.Replace(c)
}

func TestOneWinnerForEachBaseAndID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table version.Table
		won, done := map[int64]string{}, map[string]int64{}
		for _, c := range rapid.SliceOfN(rapid.Custom(anyChange), 1, 60).Draw(t, "changes") {
			before := slices.Clone(table.History)
			next, err := apply(table, c)
			if !slices.Equal(before, table.History) {
				t.Fatalf("%+v changed the table it was applied to", c)
			}
			at, known := done[c.ID]
			var duplicate *version.DuplicateError
			var moved *version.BaseError
			switch {
			case errors.As(err, &duplicate):
				if !known || duplicate.Applied.Version != at {
					t.Fatalf("%+v: %v, want version %d", c, err, at)
				}
			case errors.As(err, &moved):
				if known || c.Subject != "" || c.Base == table.Published || moved.Winner.ID != won[c.Base] {
					t.Fatalf("%+v: winner %q, want %q", c, moved.Winner.ID, won[c.Base])
				}
			default:
				if known || next.Version != table.Version+1 {
					t.Fatalf("%+v took effect as version %d after %d", c, next.Version, table.Version)
				}
				done[c.ID] = next.Version
			}
			if err != nil && !reflect.DeepEqual(next, table) {
				t.Fatalf("%+v was refused and changed the table", c)
			}
			if err == nil && c.Subject == "" {
				if winner, taken := won[c.Base]; taken || c.Base != table.Published || next.Published != next.Version {
					t.Fatalf("%+v replaced %d, won by %q", c, table.Published, winner)
				}
				won[c.Base] = c.ID
			}
			if err == nil && c.Subject != "" && next.Published != table.Published {
				t.Fatalf("%+v moved the base", c)
			}
			if !reflect.DeepEqual(next.Newer(table), next) || !reflect.DeepEqual(table.Newer(next), next) {
				t.Fatalf("the newer of versions %d and %d is the older", table.Version, next.Version)
			}
			table = next
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	var table version.Table
	for i := range version.MaxHistoryLength + 1 {
		var err error
		if table, err = table.Replace(version.Change{ID: fmt.Sprint(i), Base: int64(i)}); err != nil {
			t.Fatal(err)
		}
	}
	_, oldest := table.Find("0")
	_, second := table.Find("1")
	if len(table.History) != version.MaxHistoryLength || oldest || !second {
		t.Errorf("%d changes, oldest known: %t, second known: %t", len(table.History), oldest, second)
	}
}
