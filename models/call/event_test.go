package call_test

import (
	"testing"

	"github.com/crocusline/crocusline/models/call"
)

// TestEndsBetweenEvents checks what may follow the last event of a stream that is complete.
func TestEndsBetweenEvents(t *testing.T) {
	tests := []struct {
		rest             string
		framed, unframed bool
	}{
		{"", true, true},
		{"\n", true, true},
		{"\r\n\r\n", true, true},
		{": comment\n", true, true},
		{": comment\n\n", true, true},
		{": comment", true, false},
		{":", true, false},
		{"\n: comment", true, false},
		{"d", false, false},
		{"data: x", false, false},
		{"data: x\n", false, false},
		{": comment\ndata: x\n", false, false},
		{"\nid", false, false},
	}
	for _, tt := range tests {
		if got := call.EndsBetweenEvents(true, []byte(tt.rest)); got != tt.framed {
			t.Errorf("framed, %q: got %t", tt.rest, got)
		}
		if got := call.EndsBetweenEvents(false, []byte(tt.rest)); got != tt.unframed {
			t.Errorf("not framed, %q: got %t", tt.rest, got)
		}
	}
}
