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

// drawChange draws a change from few IDs and bases, so that conflicts are frequent.
func drawChange(t *rapid.T) version.Change {
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
		winners, applied := map[int64]string{}, map[string]int64{}
		for _, c := range rapid.SliceOfN(rapid.Custom(drawChange), 1, 60).Draw(t, "changes") {
			before := slices.Clone(table.History)
			next, err := apply(table, c)
			if !slices.Equal(before, table.History) {
				t.Fatalf("%+v changed the table it was applied to", c)
			}
			appliedAt, known := applied[c.ID]
			var duplicate *version.DuplicateError
			var baseErr *version.BaseError
			switch {
			case errors.As(err, &duplicate):
				if !known || duplicate.Applied.Version != appliedAt {
					t.Fatalf("%+v: %v, want version %d", c, err, appliedAt)
				}
			case errors.As(err, &baseErr):
				if known || c.Subject != "" || c.Base == table.Published || baseErr.Winner.ID != winners[c.Base] {
					t.Fatalf("%+v: winner %q, want %q", c, baseErr.Winner.ID, winners[c.Base])
				}
			default:
				if known || next.Version != table.Version+1 {
					t.Fatalf("%+v took effect as version %d after %d", c, next.Version, table.Version)
				}
				applied[c.ID] = next.Version
			}
			if err != nil && !reflect.DeepEqual(next, table) {
				t.Fatalf("%+v was rejected but changed the table", c)
			}
			if err == nil && c.Subject == "" {
				if winner, taken := winners[c.Base]; taken || c.Base != table.Published || next.Published != next.Version {
					t.Fatalf("%+v replaced version %d, winner %q", c, table.Published, winner)
				}
				winners[c.Base] = c.ID
			}
			if err == nil && c.Subject != "" && next.Published != table.Published {
				t.Fatalf("%+v changed the published version", c)
			}
			if !reflect.DeepEqual(next.Newer(table), next) || !reflect.DeepEqual(table.Newer(next), next) {
				t.Fatalf("Newer returned the older of versions %d and %d", table.Version, next.Version)
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
		t.Errorf("%d changes, oldest found: %t, second found: %t", len(table.History), oldest, second)
	}
}
