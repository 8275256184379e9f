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
		if got, want := (call.Progress{LastEventID: "4"}).Accepts(tt.class, tt.events), tt.fresh && (tt.events || tt.class == call.Failed); got != want {
			t.Errorf("%s of a stream that the caller resumes: got %t", name, got)
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
		{call.Progress{Begun: true, Events: 3, LastEventID: "a"}, "1", false, false},
		{call.Progress{Begun: true, Events: 3, LastEventID: "a"}, "a", false, true},
		{call.Progress{LastEventID: "7"}, "6", true, true},
		{call.Progress{LastEventID: "7"}, "7", true, true},
		{call.Progress{LastEventID: "7"}, "8", true, false},
		{call.Progress{LastEventID: "7"}, "10", true, false},
		{call.Progress{LastEventID: "a"}, "1", true, false},
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

// TestContinues checks which event of another server can be the next one.
func TestContinues(t *testing.T) {
	tests := []struct {
		name string
		// after is the event after which the caller resumes the stream, and ids are those sent since.
		after string
		ids   []string
		next  string
		want  bool
	}{
		{"the next one", "", []string{"1", "2"}, "3", true},
		{"a gap", "", []string{"1", "2"}, "4", false},
		{"no event before", "", nil, "4", true},
		{"one event before", "", []string{"1"}, "5", true},
		{"ids with gaps", "", []string{"4", "8"}, "12", true},
		{"ids with a gap", "", []string{"1", "2", "4"}, "6", true},
		{"resumed by the caller", "7", nil, "9", true},
		{"resumed by the caller and sent", "7", []string{"8"}, "10", false},
		{"resumed by the caller with a gap", "7", []string{"9"}, "11", true},
		{"no number", "", []string{"1"}, "a", false},
		{"no id", "", []string{"1", "2"}, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := call.Progress{Begun: len(tt.ids) > 0, LastEventID: tt.after}
			for _, id := range tt.ids {
				p.RecordEvent(id)
			}
			if got := p.EndsEarlier(tt.next); got {
				t.Errorf("a response that ends after event %q ends earlier than %q", tt.next, tt.ids)
			}
			for _, id := range tt.ids[:max(0, len(tt.ids)-1)] {
				if got := p.EndsEarlier(id); !got {
					t.Errorf("a response that ends after event %q of %q doesn't end earlier", id, tt.ids)
				}
			}
			if got := p.Continues(tt.next); got != tt.want {
				t.Errorf("event %q after %q: got %t", tt.next, tt.ids, got)
			}
		})
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
