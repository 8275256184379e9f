package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
)

// Repetition selects the response that a RepeatingServer writes once more.
type Repetition struct {
	Name string
	// status and fields are those of the response.
	status string
	fields string
	// named is whether the copy has the id of the earlier request. Otherwise it has none.
	named bool
	// closes is whether the copy says that the connection is closed.
	closes bool
}

// Repetitions are the kinds of responses that are written once more.
func Repetitions() []Repetition {
	const (
		shed        = "503 Service Unavailable"
		notExecuted = "Not-Executed: 1\r\n"
	)
	return []Repetition{
		{Name: "refusal", status: shed, fields: notExecuted, named: true},
		{Name: "refusal without id", status: shed, fields: notExecuted},
		{Name: "refusal that closes", status: shed, fields: notExecuted, named: true, closes: true},
		{Name: "refusal without id that closes", status: shed, fields: notExecuted, closes: true},
		{Name: "misdirected without id", status: "421 Misdirected Request", fields: "Instance-Id: another\r\n" + notExecuted},
		{Name: "answer without id", status: "200 OK", fields: "Response-Seal: seal-of-another\r\n"},
		{Name: "failure without id", status: "404 Not Found", fields: "Response-Seal: seal-of-another\r\n"},
	}
}

// RepeatingServer refuses the first request of each connection. It executes the others, and
// writes a copy of an earlier response before its response to each.
type RepeatingServer struct {
	ID         string
	repetition Repetition
	listener   net.Listener
	running    sync.WaitGroup

	mu         sync.Mutex
	executions map[string]int
	repeated   int
}

// NewRepeatingServer starts a server on loopback.
func NewRepeatingServer(id string, r Repetition) (*RepeatingServer, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RepeatingServer{ID: id, repetition: r, listener: listener, executions: map[string]int{}}
	s.running.Go(s.accept)
	return s, nil
}

// Address returns the server's listen address.
func (s *RepeatingServer) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// ExecutionCount returns how often the server executed the request with the id.
func (s *RepeatingServer) ExecutionCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// RepeatedCount returns how often a response was written once more.
func (s *RepeatingServer) RepeatedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeated
}

// Close accepts no more clients, and waits until those connected have closed their connections.
func (s *RepeatingServer) Close() error {
	err := s.listener.Close()
	s.running.Wait()
	return err
}

func (s *RepeatingServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.serve(conn) })
	}
}

// serve answers the requests of a connection.
func (s *RepeatingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	earlier := ""
	for first := true; ; first = false {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if first {
			_, err = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		} else {
			err = s.execute(conn, id, earlier)
		}
		if err != nil {
			return
		}
		earlier = id
	}
}

// execute executes a request, and writes a copy of an earlier response and the response.
func (s *RepeatingServer) execute(conn net.Conn, id, earlier string) error {
	s.mu.Lock()
	s.executions[id]++
	s.repeated++
	s.mu.Unlock()
	head := "HTTP/1.1 " + s.repetition.status + "\r\n" + s.repetition.fields
	if s.repetition.named {
		head += "Request-Id: " + earlier + "\r\n"
	}
	if s.repetition.closes {
		head += "Connection: close\r\n"
	}
	body := "answer of " + s.ID
	_, err := fmt.Fprintf(conn, "%sContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-of-%s\r\nContent-Length: %d\r\n\r\n%s",
		head, id, s.ID, len(body), body)
	return err
}
