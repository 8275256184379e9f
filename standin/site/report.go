package site

import (
	"net/http"
)

// reportPath is where a server reports its state.
const reportPath = "/api/report"

// SetStarted sets the start that the server reports, in ms since 1970. Without one it reports none.
func (s *Server) SetStarted(ms int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = ms
}

func (s *Server) respondReport(w http.ResponseWriter) {
	s.mu.Lock()
	started := s.started
	s.mu.Unlock()
	report := map[string]any{"stage": "hybrid", "busy": false, "sequence": 1, "waiting": 0, "running": 0}
	if started != 0 {
		report["born"] = started
	}
	writeJSON(w, http.StatusOK, report)
}
