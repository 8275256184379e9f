package roster_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/roster"
)

// TestView checks that work waits for a newer state only if that is on its way.
func TestView(t *testing.T) {
	const bound = 1500 * time.Millisecond
	tests := []struct {
		name              string
		view              roster.View
		current, expected bool
	}{
		{"just read", roster.View{Age: 0, Bound: bound, Reachable: true}, true, false},
		{"calm", roster.View{Age: bound - 1, Bound: bound, Reachable: true}, true, false},
		{"the process did not run", roster.View{Age: 4 * time.Second, Bound: bound, Reachable: true}, false, true},
		{"a response arrives slowly", roster.View{Age: 4 * time.Second, Bound: bound, Reachable: true, Slow: true}, false, false},
		{"just disconnected", roster.View{Age: time.Second, Bound: bound}, true, false},
		{"disconnected", roster.View{Age: 4 * time.Second, Bound: bound}, false, false},
		{"without a bound", roster.View{Age: time.Hour, Reachable: true}, true, false},
	}
	for _, tt := range tests {
		if current, expected := tt.view.Current(), tt.view.UpdateExpected(); current != tt.current || expected != tt.expected {
			t.Errorf("%s: current %t, expected %t", tt.name, current, expected)
		}
	}
}
