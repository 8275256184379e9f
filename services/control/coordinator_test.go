package control

import (
	"testing"

	"github.com/crocusline/crocusline/models/fleet"
)

func TestEachEntryIsCoordinator(t *testing.T) {
	state := fleet.New()
	for i, name := range []string{"a", "b", "c", "d"} {
		m := fleet.Member{Incarnation: name + "/1", Name: name, Role: fleet.Entry}
		if name == "d" {
			m.Role = fleet.Sidecar
		}
		state, _ = state.Apply(int64(i), state.Tables.Stops[""].Since, fleet.Register{Member: m})
	}
	terms := map[string]int{}
	for term := range int64(60) {
		terms[coordinator(state, term)]++
	}
	if len(terms) != 3 || terms["d/1"] != 0 {
		t.Fatalf("terms %v", terms)
	}
	for name, n := range terms {
		if n < 10 {
			t.Errorf("%s is the coordinator in %d of 60 terms", name, n)
		}
	}
}
