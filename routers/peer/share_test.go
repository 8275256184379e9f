package peer

import (
	"testing"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/table"
)

// fixedTables gives one kind of work a queue share and another one none.
type fixedTables struct{}

func (fixedTables) TableVersion() int64 { return 1 }

func (fixedTables) State() *fleet.State {
	return &fleet.State{Tables: &table.Tables{Routes: map[string]table.Route{"draft": {Share: 0.2}, "stock": {}}}}
}

func TestQueueShareIsReadFromTables(t *testing.T) {
	s := NewSidecarHandler(nil, fixedTables{})
	for kind, want := range map[string]float64{"draft": 0.2, "stock": table.DefaultQueueShare} {
		if got := s.queueShare(kind); got != want {
			t.Errorf("%s: share %v, want %v", kind, got, want)
		}
	}
	if got := NewSidecarHandler(nil, nil).queueShare("draft"); got != 0 {
		t.Errorf("without tables: share %v", got)
	}
}
