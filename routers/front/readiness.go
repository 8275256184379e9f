package front

import (
	"net/http"
)

// Check reports whether a dependency of the gateway is available.
type Check func() bool

// Readiness is the handler of the platform's readiness checks.
type Readiness struct {
	handler *Handler
	checks  []Check
}

// NewReadiness returns a readiness handler for h. The gateway is ready if h is not
// draining, not short of its own resources, and all checks pass.
func NewReadiness(h *Handler, checks ...Check) *Readiness {
	return &Readiness{handler: h, checks: checks}
}

// Ready reports whether the gateway accepts requests.
func (r *Readiness) Ready() bool {
	if r.handler.Draining() || !r.handler.strain.Ready() {
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
