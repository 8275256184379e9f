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
// in a response with the request's id, and that what is passed on promises nothing.
func TestNotRunWithoutStatement(t *testing.T) {
	for status := 200; status < 600; status++ {
		for bits := range 8 {
			for _, origin := range []call.Origin{call.Own, call.Unnamed, call.Other} {
				h := call.ResponseHead{Origin: origin, Status: status, NotExecuted: bits&1 > 0, Sealed: bits&2 > 0, Encoded: bits&4 > 0}
				stated := origin == call.Own && !h.Sealed && (h.NotExecuted && status >= 300 || status == http.StatusMisdirectedRequest)
				class := h.Class()
				if (class == call.NotRun || class == call.Misdirected) != stated {
					t.Errorf("%+v: got %s", h, class)
				}
				if (call.Progress{}).Accepts(class, false) && (call.PromisesNotRun(status) || origin != call.Own || !h.Sealed) {
					t.Errorf("%+v is passed on as %s", h, class)
				}
			}
		}
	}
}
