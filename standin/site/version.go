package site

import "fmt"

// SetVersion sets the version of the server's software, which the events of later streams name.
// Without a version they name none.
func (s *Server) SetVersion(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

// Version returns the version of the server's software, or "".
func (s *Server) Version() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// VersionedEvent returns the server-sent event with the id, as a Server of the version encodes it.
func VersionedEvent(id int, version string) string {
	if version == "" {
		return Event(id)
	}
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", id, id, version)
}
