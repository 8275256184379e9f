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

// TestWellFormed checks which lines an event may have.
func TestWellFormed(t *testing.T) {
	added := func(field string) bool { return field == "versions" }
	for event, want := range map[string]bool{
		"id: 1\ndata: x\n\n": true, "id:1\r\ndata\r\n\r\n": true, ": comment\nretry: 5\nevent: e\n\n": true,
		"versions: 3\nid: 4\n\n": true, "data: HTTP/1.1 500 Internal Server Error\n\n": true,
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n": false, "id: 1\nHTTP/1.1 200 OK\n\n": false,
		"garbage\n\n": false, " id: 1\n\n": false, "ID: 1\n\n": false, "data x: 1\n\n": false, "version: 3\nid: 4\n\n": false,
	} {
		if got := call.WellFormed([]byte(event), added); got != want {
			t.Errorf("%q: got %t", event, got)
		}
	}
}
