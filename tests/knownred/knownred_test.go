package knownred

import (
	"fmt"
	"testing"
)

// recorder counts the failures and log lines of a test.
type recorder struct {
	testing.TB
	failed, logged int
}

func (r *recorder) Helper()               {}
func (r *recorder) Name() string          { return "TestListed" }
func (r *recorder) Errorf(string, ...any) { r.failed++ }
func (r *recorder) Error(...any)          { r.failed++ }
func (r *recorder) Logf(string, ...any)   { r.logged++ }

func TestReport(t *testing.T) {
	entries, err := Parse("# list\n\nTestListed | go test, seed 1 | 2 of 3 | 5\n")
	if err != nil || len(entries) != 1 {
		t.Fatalf("%v, %v", entries, err)
	}
	for _, c := range []struct {
		entries        []Entry
		problem        string
		failed, logged int
	}{
		{entries, "too slow", 0, 1},
		{entries, "", 1, 0},
		{nil, "too slow", 1, 0},
		{nil, "", 0, 0},
	} {
		r := &recorder{}
		report(r, c.entries, c.problem)
		if got := fmt.Sprint(r.failed, r.logged); got != fmt.Sprint(c.failed, c.logged) {
			t.Errorf("%+v: failed and logged %s", c, got)
		}
	}
	if _, err := Parse("TestListed | too slow"); err == nil {
		t.Error("Parse accepted an entry with two fields")
	}
}
