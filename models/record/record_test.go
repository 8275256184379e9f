package record_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/record"
)

// TestKnownAt checks that the time at which a process handles a response is no evidence about the state
// that it describes.
func TestKnownAt(t *testing.T) {
	const sentAt = 10 * time.Second
	read := record.Read{From: 5, Wait: 700 * time.Millisecond}
	empty := record.Batch{Next: 5, End: 5}
	records := record.Batch{Records: make([]record.Record, 2), Next: 7, End: 7}
	tests := []struct {
		name  string
		batch record.Batch
		took  time.Duration
		want  time.Duration
		known bool
	}{
		{"held until the end of the wait", empty, 705 * time.Millisecond, sentAt + 700*time.Millisecond, true},
		{"held, and handled 4 s later", empty, 4 * time.Second, sentAt + 700*time.Millisecond, true},
		{"empty before the end of the wait", empty, 5 * time.Millisecond, sentAt + 5*time.Millisecond, true},
		{"records at once", records, 5 * time.Millisecond, sentAt, true},
		{"records at the end of the wait", records, 690 * time.Millisecond, sentAt, true},
		{"records, handled 4 s later", records, 4 * time.Second, sentAt, true},
		{"unreadable records", record.Batch{Unreadable: 2, Next: 7, End: 7}, 705 * time.Millisecond, sentAt, true},
		{"not all records", record.Batch{Records: make([]record.Record, 2), Next: 7, End: 90}, 5 * time.Millisecond, 0, false},
	}
	for _, tt := range tests {
		got, known := read.KnownAt(tt.batch, sentAt, sentAt+tt.took)
		if got != tt.want || known != tt.known {
			t.Errorf("%s: got %s, %t, want %s, %t", tt.name, got, known, tt.want, tt.known)
		}
	}
}

// TestPositionBefore checks that offsets are compared within one era only.
func TestPositionBefore(t *testing.T) {
	ordered := []record.Position{{}, {Next: 9}, {Era: 1, Next: 3}, {Era: 1, Next: 90}, {Era: 2, Next: 1}, {Era: 2, Next: 2}}
	for i, p := range ordered {
		for j, q := range ordered {
			if p.Before(q) != (i < j) {
				t.Errorf("%+v before %+v: got %t", p, q, p.Before(q))
			}
		}
	}
}
