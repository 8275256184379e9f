package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/exchange"
)

// receivingServer records the targets of the request lines of which any byte arrived. It responds to some requests,
// and closes or resets connections at random.
type receivingServer struct {
	mu       sync.Mutex
	received map[string]bool
}

// serve handles one connection. Each request line begins with the method and ends before the first body.
func (s *receivingServer) serve(conn net.Conn, requests *bufio.Reader, r *rand.Rand) {
	for {
		if r.IntN(4) == 0 {
			// Closes a connection that may be kept, after a while.
			time.Sleep(time.Duration(r.IntN(300)) * time.Microsecond)
			if tcp, ok := conn.(*net.TCPConn); ok && r.IntN(2) == 0 {
				_ = tcp.SetLinger(0)
			}
			s.recordRest(requests)
			return
		}
		line, err := requests.ReadBytes('\n')
		s.record(line)
		if err != nil {
			return
		}
		length := 0
		for {
			field, err := requests.ReadBytes('\n')
			if err != nil {
				return
			}
			if value, found := bytes.CutPrefix(field, []byte("Content-Length: ")); found {
				length, _ = strconv.Atoi(string(bytes.TrimSpace(value)))
			}
			if len(bytes.TrimSpace(field)) == 0 {
				break
			}
		}
		if _, err := io.CopyN(io.Discard, requests, int64(length)); err != nil {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// recordRest records a request that has arrived although nobody will read it.
func (s *receivingServer) recordRest(requests *bufio.Reader) {
	if requests.Buffered() > 0 {
		line, _ := requests.ReadBytes('\n')
		s.record(line)
	}
}

func (s *receivingServer) record(line []byte) {
	if fields := bytes.Fields(line); len(fields) > 1 {
		s.mu.Lock()
		s.received[string(fields[1])] = true
		s.mu.Unlock()
	}
}

// TestUnsentButReceived guards against requests that count as unsent although the server received a part of them, for bodies
// of all sizes, contexts that end at random, and connections that the server closes.
func TestUnsentButReceived(t *testing.T) {
	const requests = 4000
	r := rand.New(rand.NewPCG(1, 0))
	s := &receivingServer{received: map[string]bool{}}
	var seed uint64
	var seedMu sync.Mutex
	server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		seedMu.Lock()
		seed++
		own := rand.New(rand.NewPCG(seed, 1))
		seedMu.Unlock()
		s.serve(conn, requests, own)
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	unsent := map[string]string{}
	kinds := map[string]int{}
	for n := range requests {
		target := fmt.Sprintf("/%d", n)
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(20+r.IntN(500))*time.Microsecond)
		if r.IntN(3) == 0 {
			time.AfterFunc(time.Duration(r.IntN(200))*time.Microsecond, cancel)
		}
		req := server.request(strconv.Itoa(n))
		req.Target, req.Body = target, make([]byte, []int{0, 100, 5 << 10, 16 << 10, 17 << 10, 300 << 10}[r.IntN(6)])
		resp, err := c.Do(ctx, req)
		var dial *exchange.DialError
		var notSent *exchange.NotSentError
		var noResponse *exchange.NoResponseError
		switch {
		case err == nil:
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			kinds["response"]++
		case errors.As(err, &dial), errors.As(err, &notSent), errors.As(err, &noResponse) && !noResponse.Written:
			unsent[target] = err.Error()
			kinds[fmt.Sprintf("unsent: %T", err)]++
		default:
			kinds["no response"]++
		}
		cancel()
	}
	time.Sleep(50 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for target, reason := range unsent {
		if s.received[target] {
			t.Errorf("%s was received, and counts as unsent: %s", target, reason)
		}
	}
	t.Log(kinds)
}
