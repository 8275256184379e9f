package call_test

import (
	"fmt"
	"testing"

	"github.com/crocusline/crocusline/models/call"
)

// TestAccepts checks for each class of response whether it can be passed on, before and after
// the caller's response has begun.
func TestAccepts(t *testing.T) {
	tests := []struct {
		class  call.ResponseClass
		events bool
		fresh  bool
		begun  bool
	}{
		{call.Unknown, true, false, false},
		{call.NotRun, false, false, false},
		{call.Misdirected, false, false, false},
		{call.Succeeded, false, true, false},
		{call.Succeeded, true, true, true},
		{call.Failed, false, true, false},
		{call.Failed, true, true, false},
		{call.FailedAsRefused, false, false, false},
		{call.FailedAsRefused, true, false, false},
		{call.Foreign, true, false, false},
	}
	for _, tt := range tests {
		name := fmt.Sprintf("%s with events %t", tt.class, tt.events)
		if got := (call.Progress{}).Accepts(tt.class, tt.events); got != tt.fresh {
			t.Errorf("%s before the response began: got %t", name, got)
		}
		if got := (call.Progress{Begun: true}).Accepts(tt.class, tt.events); got != tt.begun {
			t.Errorf("%s after the response began: got %t", name, got)
		}
	}
}

// TestResumable checks that only an event with an id is a point to resume after, and which
// events the caller has.
func TestResumable(t *testing.T) {
	tests := []struct {
		progress  call.Progress
		event     string
		resumable bool
		includes  bool
	}{
		{call.Progress{}, "1", true, false},
		{call.Progress{Begun: true, Events: 3, LastEventID: "7"}, "7", true, true},
		{call.Progress{Begun: true, Events: 3, LastEventID: "7"}, "8", true, false},
		{call.Progress{Begun: true, Events: 3, LastEventID: "7"}, "", true, false},
		{call.Progress{Begun: true, Events: 3, LastEventID: "a"}, "1", true, false},
		{call.Progress{Begun: true, Events: 3}, "1", false, false},
	}
	for _, tt := range tests {
		if got := tt.progress.Resumable(); got != tt.resumable {
			t.Errorf("%+v: resumable is %t", tt.progress, got)
		}
		if got := tt.progress.Includes(tt.event); got != tt.includes {
			t.Errorf("%+v includes event %q: got %t", tt.progress, tt.event, got)
		}
	}
}

// TestStreamEndedWithoutFramingByTwoServers guards against complete streams that are taken for broken
// ones, and against broken ones that are taken for complete, where no server frames its response.
func TestStreamEndedWithoutFramingByTwoServers(t *testing.T) {
	type end struct {
		// last is the caller's last event, and after the one after which the server ended.
		last, after string
		confirmed   bool
	}
	tests := []struct {
		name string
		ends []end
	}{
		{"one server", []end{{"4", "4", false}}},
		{"the same event", []end{{"4", "4", false}, {"4", "4", true}}},
		{"a later event", []end{{"2", "2", false}, {"4", "4", false}, {"4", "4", true}}},
		{"an earlier event", []end{{"4", "4", false}, {"4", "2", false}}},
		{"twice an earlier event", []end{{"4", "2", false}, {"4", "2", false}}},
		{"an earlier event between", []end{{"4", "4", false}, {"4", "2", false}, {"4", "4", true}}},
		{"no event", []end{{"", "", false}, {"", "", false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p call.Progress
			for i, e := range tt.ends {
				p.LastEventID = e.last
				if got := p.ConfirmsEnd(e.after); got != e.confirmed {
					t.Errorf("end %d after event %q: confirmed is %t", i, e.after, got)
				}
			}
		})
	}
}
