package site

import "time"

// Execution is the time in which a Server worked on a request.
type Execution struct {
	BeganAt time.Time
	// EndedAt is the zero value while the server works.
	EndedAt time.Time
}

// Execution returns the last execution of the request with the id, and whether there is one.
func (s *Server) Execution(id string) (Execution, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.executions[id] == 0 {
		return Execution{}, false
	}
	e := Execution{EndedAt: s.ends[id]}
	for _, r := range s.requests {
		if r.ID == id {
			e.BeganAt = r.At
		}
	}
	return e, true
}

func (s *Server) recordEnd(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ends == nil {
		s.ends = map[string]time.Time{}
	}
	s.ends[id] = time.Now()
}
