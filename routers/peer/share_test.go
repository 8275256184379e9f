package peer

import (
	"testing"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/table"
)

type sharedTables struct{}

func (sharedTables) TableVersion() int64 { return 1 }

func (sharedTables) State() *fleet.State {
	return &fleet.State{Tables: &table.Tables{Routes: map[string]table.Route{"draft": {Share: 0.2}, "stock": {}}}}
}

func TestShareComesFromTheTables(t *testing.T) {
	s := NewSidecarHandler(nil, sharedTables{})
	for kind, want := range map[string]float64{"draft": 0.2, "stock": table.DefaultQueueShare} {
		if got := s.shareOf(kind); got != want {
			t.Errorf("%s: share %v, want %v", kind, got, want)
		}
	}
	if got := NewSidecarHandler(nil, nil).shareOf("draft"); got != 0 {
		t.Errorf("without tables: share %v", got)
	}
}
