package site

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// EndlessResponse is a response without end: start, and then pattern until the client closes
// the connection. If the pattern is empty, the response stops without an end.
type EndlessResponse struct {
	Name    string
	start   string
	pattern string
}

const (
	okLine    = "HTTP/1.1 200 OK\r\n"
	chunkedOK = okLine + "Transfer-Encoding: chunked\r\n\r\n"
	// requestID is replaced by the id of the request that is answered.
	requestID = "{request-id}"
	// ownFields are those of the answer to a request, and sealedFields those of a result.
	ownFields    = "Request-Id: " + requestID + "\r\n"
	sealedFields = ownFields + "Response-Seal: seal\r\n"
	chunked      = "Transfer-Encoding: chunked\r\n\r\n"
	eventStream  = "Content-Type: text/event-stream\r\n" + chunked
)

// EndlessResponses are those that are not answers, in a head or a body.
func EndlessResponses() []EndlessResponse {
	return []EndlessResponse{
		{"no answer", "", "x"},
		{"header line", okLine + "Server: ", "x"},
		{"header lines", okLine, "X-Field: value\r\n"},
		{"interim heads", "", "HTTP/1.1 102 Processing\r\nX-Field: value\r\n\r\n"},
		{"chunk line", chunkedOK, "0"},
		{"chunk extension", chunkedOK + "5;", "x"},
		{"trailer", chunkedOK + "0\r\n", "X-Field: value\r\n"},
		{"foreign response", okLine + "Request-Id: another\r\n" + chunked, "5\r\nhello\r\n"},
	}
}

// EndlessAnswers are those that begin as the answer to a request, or as the statement that it has
// not run.
func EndlessAnswers() []EndlessResponse {
	const (
		// headSize is just short of the bound of a head.
		headSize = 15 << 10
		// bufferedSize is just short of the size up to which a response is buffered.
		bufferedSize = 511 << 10
		chunk        = "400\r\n"
	)
	block := chunk + strings.Repeat("x", 1<<10) + "\r\n"
	blocks := strings.Repeat(block, bufferedSize>>10)
	return []EndlessResponse{
		// Quoted, each of these bytes takes four.
		{"bytes that are no header", strings.Repeat("\x01", headSize) + "\r\n", ""},
		{"undecodable notice", "HTTP/1.1 503 Service Unavailable\r\n" + ownFields + "Not-Executed: 1\r\nRetry-After: " + strings.Repeat("\x80", headSize) + "\r\n" + chunked, block},
		{"many fields", okLine + sealedFields + distinctFields(headSize) + chunked, ""},
		{"many fields, no end", okLine + distinctFields(headSize), ""},
		{"body with length", okLine + sealedFields + "Content-Length: 1000000000000\r\n\r\n", "x"},
		{"chunked body", okLine + sealedFields + chunked, block},
		{"chunked body, stopped", okLine + sealedFields + chunked + blocks, ""},
		{"unframed body", okLine + sealedFields + "\r\n", "x"},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\n" + sealedFields + chunked, block},
		{"failure, stopped", "HTTP/1.1 500 Internal Server Error\r\n" + sealedFields + chunked + blocks, ""},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\n" + ownFields + "Not-Executed: 1\r\n" + chunked, block},
		{"misdirected", "HTTP/1.1 421 Misdirected Request\r\n" + ownFields + chunked, block},
		{"event", okLine + sealedFields + eventStream + "400\r\nid: 1\ndata:" + strings.Repeat("x", 1<<10-11) + "\r\n", block},
		{"event, stopped", okLine + sealedFields + eventStream + strings.Repeat(block, 63), ""},
		{"events", okLine + sealedFields + eventStream, "10\r\nid: x\ndata: x  \n\n\r\n"},
		{"repeated event", okLine + sealedFields + eventStream, "10\r\nid: 1\ndata: x  \n\n\r\n"},
		{"comments", okLine + sealedFields + eventStream, "2\r\n:\n\r\n"},
		{"bytes after a response", okLine + sealedFields + "Content-Length: 2\r\n\r\nok", "x"},
	}
}

// distinctFields returns header fields with distinct names, of about this size together.
func distinctFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// Prefix returns about this many bytes of the response.
func (r EndlessResponse) Prefix(size int) []byte {
	if r.pattern == "" {
		return []byte(r.start)
	}
	return []byte(r.start + strings.Repeat(r.pattern, 1+size/len(r.pattern)))
}

// EndlessServer sends an endless response to each client.
type EndlessServer struct {
	response EndlessResponse
	// block is sent again and again.
	block    []byte
	listener net.Listener
	sent     atomic.Int64
	running  sync.WaitGroup

	mu sync.Mutex
	// idle holds the connections without a request, or is nil once the server is closed.
	idle map[net.Conn]bool
}

// NewEndlessServer starts a server on loopback.
func NewEndlessServer(r EndlessResponse) (*EndlessServer, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	const blockSize = 32 << 10
	s := &EndlessServer{response: r, block: EndlessResponse{pattern: r.pattern}.Prefix(blockSize), listener: listener, idle: map[net.Conn]bool{}}
	s.running.Go(s.accept)
	return s, nil
}

// Address returns the address of the server.
func (s *EndlessServer) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Sent returns the number of bytes sent to all clients.
func (s *EndlessServer) Sent() int64 { return s.sent.Load() }

// Close accepts no more clients, closes the connections without a request, and waits until the
// other clients have closed theirs.
func (s *EndlessServer) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	for conn := range s.idle {
		_ = conn.Close()
	}
	s.idle = nil
	s.mu.Unlock()
	s.running.Wait()
	return err
}

// setIdle records whether a connection is without a request. It returns false if the server is
// closed.
func (s *EndlessServer) setIdle(conn net.Conn, idle bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		return false
	}
	if idle {
		s.idle[conn] = true
	} else {
		delete(s.idle, conn)
	}
	return true
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
	if !s.setIdle(conn, true) {
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || !s.setIdle(conn, false) {
		return
	}
	for data := []byte(strings.ReplaceAll(s.response.start, requestID, r.Header.Get("Request-Id"))); ; data = s.block {
		n, err := conn.Write(data)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
		if len(s.block) == 0 {
			// Waits until the client closes the connection.
			_, _ = io.Copy(io.Discard, conn)
			return
		}
	}
}
