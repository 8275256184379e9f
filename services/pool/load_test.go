package pool

import (
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/crocusline/crocusline/models/queue"
	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
)

func TestLoadFromMessage(t *testing.T) {
	got := loadFrom(&commonv1.Load{
		Running: 3, Slots: 4, Draining: true,
		Queued: []int32{1, 2, 3}, Ahead: []int32{2, 5, 9},
		Wait: []*durationpb.Duration{durationpb.New(0), durationpb.New(time.Second), durationpb.New(time.Minute)},
	})
	want := queue.Load{
		Running: 3, Slots: 4, Draining: true,
		Queued: [3]int{1, 2, 3}, Ahead: [3]int{2, 5, 9}, Wait: [3]time.Duration{0, time.Second, time.Minute},
	}
	if got != want {
		t.Errorf("loadFrom() = %+v, want %+v", got, want)
	}
}
