package site

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
)

// CutResponse is a success in one of the framings that HTTP has.
type CutResponse struct {
	Name string
	// Text is the whole response to the request with the id r1, and Head the size of its head in bytes.
	Text string
	Head int
	// Framed is whether the response says where its body ends.
	Framed bool
}

// CutResponses returns the framings of a plain response, or of a stream of events.
func CutResponses(stream bool) []CutResponse {
	const fields = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: seal-of-cut\r\n"
	body, size, chunk, contentType := "answer of it", "12", "c", ""
	if stream {
		body, size, chunk = Event(1)+Event(2), "42", "2a"
		contentType = "Content-Type: text/event-stream\r\n"
	}
	responses := []CutResponse{
		{Name: "length last", Framed: true, Text: fields + contentType + "Content-Length: " + size + "\r\n\r\n" + body},
		{Name: "length first", Framed: true, Text: "HTTP/1.1 200 OK\r\nContent-Length: " + size + strings.TrimPrefix(fields, "HTTP/1.1 200 OK") + contentType + "\r\n" + body},
		{Name: "chunks", Framed: true, Text: fields + contentType + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "\r\n" + body + "\r\n0\r\n\r\n"},
		{Name: "interim response first", Framed: true, Text: "HTTP/1.1 102 Processing\r\n\r\n" + fields + contentType + "Content-Length: " + size + "\r\n\r\n" + body},
		{Name: "until the connection ends", Text: fields + contentType + "\r\n" + body},
	}
	for i, r := range responses {
		responses[i].Head = strings.LastIndex(r.Text[:len(r.Text)-len("0\r\n\r\n")], "\r\n\r\n") + len("\r\n\r\n")
	}
	return responses
}

// CutServer answers each request with the first bytes of a response and closes the connection in
// order, as a process does that ends, unless it is set to respond early or to reset.
type CutServer struct {
	listener net.Listener
	running  sync.WaitGroup

	mu           sync.Mutex
	text         string
	early, reset bool
}

// NewCutServer starts a server on loopback.
func NewCutServer() (*CutServer, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &CutServer{listener: listener}
	s.running.Go(s.accept)
	return s, nil
}

// Address returns the server's listen address.
func (s *CutServer) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Respond sets the bytes that are sent to each request.
func (s *CutServer) Respond(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = text
}

// SetEnd sets whether the server responds before it has read the body of a request, and whether it resets the connection
// after the response instead of reading the rest.
func (s *CutServer) SetEnd(early, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.early, s.reset = early, reset
}

// Close stops the server.
func (s *CutServer) Close() error {
	err := s.listener.Close()
	s.running.Wait()
	return err
}

func (s *CutServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() {
			defer func() { _ = conn.Close() }()
			s.respond(conn)
		})
	}
}

func (s *CutServer) respond(conn net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.mu.Lock()
	text, early, reset := s.text, s.early, s.reset
	s.mu.Unlock()
	if !early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = conn.Write([]byte(text))
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
		return
	}
	// Unread bytes would reset the connection.
	_, _ = io.Copy(io.Discard, r.Body)
}
