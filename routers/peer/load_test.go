package peer_test

import (
	"slices"
	"testing"

	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/routers/peer"
)

func TestLoadMessage(t *testing.T) {
	m := peer.LoadMessage(queue.Load{Queued: [3]int{1, 2, 3}, Ahead: [3]int{2, 5, 9}})
	if !slices.Equal(m.GetQueued(), []int32{1, 2, 3}) || !slices.Equal(m.GetAhead(), []int32{2, 5, 9}) {
		t.Errorf("message %v", m)
	}
}
