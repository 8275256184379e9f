package site

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
)

// EndlessResponse is a response without end: start, and then pattern until the client closes
// the connection.
type EndlessResponse struct {
	Name    string
	start   string
	pattern string
}

// EndlessResponses are those that are not answers, in a head or a body.
func EndlessResponses() []EndlessResponse {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	)
	return []EndlessResponse{
		{"no answer", "", "x"},
		{"header line", ok + "Server: ", "x"},
		{"header lines", ok, "X-Field: value\r\n"},
		{"interim heads", "", "HTTP/1.1 102 Processing\r\nX-Field: value\r\n\r\n"},
		{"chunk line", chunked, "0"},
		{"chunk extension", chunked + "5;", "x"},
		{"trailer", chunked + "0\r\n", "X-Field: value\r\n"},
		{"foreign response", ok + "Request-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
	}
}

// Prefix returns about this many bytes of the response.
func (r EndlessResponse) Prefix(size int) []byte {
	return []byte(r.start + strings.Repeat(r.pattern, 1+size/len(r.pattern)))
}

// EndlessServer sends an endless response to each client.
type EndlessServer struct {
	response EndlessResponse
	listener net.Listener
	sent     atomic.Int64
	running  sync.WaitGroup
}

// NewEndlessServer starts a server on loopback.
func NewEndlessServer(r EndlessResponse) (*EndlessServer, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &EndlessServer{response: r, listener: listener}
	s.running.Go(s.accept)
	return s, nil
}

// Address returns the address of the server.
func (s *EndlessServer) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Sent returns the number of bytes sent to all clients.
func (s *EndlessServer) Sent() int64 { return s.sent.Load() }

// Close accepts no more clients, and waits until those connected have closed their
// connections.
func (s *EndlessServer) Close() error {
	err := s.listener.Close()
	s.running.Wait()
	return err
}

func (s *EndlessServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.send(conn) })
	}
}

// send answers the first request of a connection.
func (s *EndlessServer) send(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		return
	}
	block := EndlessResponse{pattern: s.response.pattern}.Prefix(32 << 10)
	for data := []byte(s.response.start); ; data = block {
		n, err := conn.Write(data)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}
