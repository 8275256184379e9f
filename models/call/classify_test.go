package call_test

import (
	"net/http"
	"testing"

	"github.com/crocusline/crocusline/models/call"
)

// TestPromisesNotRun checks which statuses callers take for a promise.
func TestPromisesNotRun(t *testing.T) {
	promises := map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}
	for status := 100; status < 600; status++ {
		if got := call.PromisesNotRun(status); got != promises[status] {
			t.Errorf("status %d: got %t", status, got)
		}
	}
}

// TestNotRunWithoutStatement checks for all responses that a request counts as not run only if the server states it
// with a status of refusals, in a response with the request's id, and that what is passed on promises nothing and has a
// status of final responses.
func TestNotRunWithoutStatement(t *testing.T) {
	refusals := map[int]bool{http.StatusBadRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}
	for status := range 1000 {
		for bits := range 4 * 4 * 3 {
			h := call.ResponseHead{
				Origin: call.Origin(bits / 4 % 4), Status: status, Statement: call.Statement(bits / 16), Sealed: bits&1 > 0, Encoded: bits&2 > 0,
			}
			stated := h.Statement == call.NotExecuted && refusals[status] || h.Statement != call.Contradictory && status == http.StatusMisdirectedRequest
			stated = stated && h.Origin == call.Own && !h.Sealed
			class := h.Class()
			if (class == call.NotRun || class == call.Misdirected) != stated {
				t.Errorf("%+v: got %s", h, class)
			}
			if (call.Progress{}).Accepts(class, false) && (status < 200 || status > 599 || call.PromisesNotRun(status) || h.Origin != call.Own || !h.Sealed) {
				t.Errorf("%+v is passed on as %s", h, class)
			}
		}
	}
}

// TestOriginOf checks whose answer a response is, by the ids that it has.
func TestOriginOf(t *testing.T) {
	tests := []struct {
		request string
		ids     []string
		want    call.Origin
	}{
		{"1", []string{"1"}, call.Own},
		{"1", []string{"1", "1"}, call.Own},
		{"1", []string{"2"}, call.Other},
		{"1", []string{"2", "2"}, call.Other},
		{"1", nil, call.Unnamed},
		{"1", []string{""}, call.Unnamed},
		{"1", []string{"1", "2"}, call.Ambiguous},
		{"1", []string{"2", "1"}, call.Ambiguous},
		{"1", []string{"1", ""}, call.Ambiguous},
		{"1", []string{"2", "3"}, call.Ambiguous},
		{"1", []string{"1, 2"}, call.Other},
		{"", nil, call.Own},
		{"", []string{""}, call.Own},
		{"", []string{"1"}, call.Other},
	}
	for _, tt := range tests {
		r := call.Request{ID: tt.request}
		if got := r.OriginOf(tt.ids...); got != tt.want {
			t.Errorf("request %q, response with %q: got %s, want %s", tt.request, tt.ids, got, tt.want)
		}
	}
}
