package front

import (
	"net/http"
)

// Check says whether something that the entry needs is there.
type Check func() bool

// Readiness answers whether the entry takes requests.
type Readiness struct {
	handler *Handler
	checks  []Check
}

// NewReadiness returns the answer for a handler whose needs the checks name.
func NewReadiness(h *Handler, checks ...Check) *Readiness {
	return &Readiness{handler: h, checks: checks}
}

// Ready says whether the entry takes requests.
func (r *Readiness) Ready() bool {
	if r.handler.Draining() {
		return false
	}
	for _, check := range r.checks {
		if !check() {
			return false
		}
	}
	return true
}

// ServeHTTP implements http.Handler.
func (r *Readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
