package call_test

import (
	"testing"

	"github.com/crocusline/crocusline/models/call"
)

// TestFingerprint checks which requests have the same fingerprint.
func TestFingerprint(t *testing.T) {
	base := call.Request{ID: "1", Method: "POST", Host: "a", Target: "/x/1?a", Model: "m", Body: []byte("body")}
	want := base.Fingerprint("clinics")
	tests := []struct {
		name   string
		caller string
		change func(r *call.Request)
		same   bool
	}{
		{"sent again", "clinics", func(r *call.Request) { r.ID = "2"; r.Timeout = 5; r.LastEventID = "3" }, true},
		{"caller", "stores", func(*call.Request) {}, false},
		{"method", "clinics", func(r *call.Request) { r.Method = "PUT" }, false},
		{"host", "clinics", func(r *call.Request) { r.Host = "b" }, false},
		{"query", "clinics", func(r *call.Request) { r.Target = "/x/1?b" }, false},
		{"model", "clinics", func(r *call.Request) { r.Model = "n" }, false},
		{"body", "clinics", func(r *call.Request) { r.Body = []byte("bodY") }, false},
		{"no body", "clinics", func(r *call.Request) { r.Body = nil }, false},
		{"other limits of the fields", "clinics", func(r *call.Request) { r.Target, r.Model = "/x/1?am", "" }, false},
	}
	for _, tt := range tests {
		r := base
		tt.change(&r)
		if got := r.Fingerprint(tt.caller); got == want != tt.same {
			t.Errorf("%s: same fingerprint %t", tt.name, got == want)
		}
	}
}
