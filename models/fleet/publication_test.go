package fleet_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/crocusline/crocusline/models/fleet"
)

// The file is a snapshot with a published pool of server m1 and a planned stop of m1.
func TestSnapshotFormatIsStable(t *testing.T) {
	want, err := os.ReadFile("testdata/snapshot.cbor")
	if err != nil {
		t.Fatal(err)
	}
	stop := fleet.PlanStop{ID: "s1", By: "ben", Server: "m1"}
	s, _ := apply(t, fleet.New(), publication("p1", "ana", 0, "m1"), stop)
	if got, err := s.Snapshot(); err != nil || !bytes.Equal(got, want) {
		t.Errorf("snapshot %q, %v, want %q", got, err, want)
	}
	restored, err := fleet.Restore(want)
	if err != nil {
		t.Fatal(err)
	}
	if _, result := apply(t, restored, stop); cause(t, result) != fleet.Duplicate {
		t.Errorf("the stop in the snapshot was planned again: %+v", result)
	}
}

func TestHistoryContainsServerOfStop(t *testing.T) {
	s, _ := apply(t, fleet.New(), publication("p1", "ana", 0, "m1"),
		fleet.PlanStop{ID: "s1", By: "ben", Server: "m1"}, fleet.EndStop{ID: "e1", By: "cho", Server: "m1"})
	for id, want := range map[string]string{"p1": "", "s1": "m1", "e1": "m1"} {
		if p, known := s.FindPublication(id); !known || p.Server != want {
			t.Errorf("%s: %+v, known: %t, want server %q", id, p, known, want)
		}
	}
}
