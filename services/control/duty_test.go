package control

import (
	"testing"

	"github.com/crocusline/crocusline/models/fleet"
)

func TestEachEntryGetsItsTurn(t *testing.T) {
	state := fleet.New()
	for i, name := range []string{"a", "b", "c", "d"} {
		m := fleet.Member{Incarnation: name + "/1", Name: name, Role: fleet.Entry}
		if name == "d" {
			m.Role = fleet.Sidecar
		}
		state, _ = state.Apply(int64(i), state.Tables.Stops[""].Since, fleet.Register{Member: m})
	}
	turns := map[string]int{}
	for turn := range int64(60) {
		turns[onDuty(state, turn)]++
	}
	if len(turns) != 3 || turns["d/1"] != 0 {
		t.Fatalf("turns %v", turns)
	}
	for name, n := range turns {
		if n < 10 {
			t.Errorf("%s has %d turns of 60", name, n)
		}
	}
}
