package intake_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/crocusline/crocusline/services/intake"
	"github.com/crocusline/crocusline/services/memory"
)

const (
	maxBytes = 100_000
	// limit leaves 1 MiB to large requests.
	limit = 8 << 20
)

// result is what a handler got of a body.
type result struct {
	bytes int
	err   error
	held  int64
}

// read sends a request with a body and returns what the handler got. The connection is closed after the text.
func read(t *testing.T, m *memory.Service, text string, opts ...intake.Option) result {
	t.Helper()
	results := make(chan result, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := m.NewReservation()
		defer held.Release()
		body := intake.New(w, r, held, append([]intake.Option{intake.WithMaxBytes(maxBytes), intake.WithTimeout(time.Minute)}, opts...)...)
		if err := body.Reserve(); err != nil {
			results <- result{err: err, held: m.Held()}
			return
		}
		data, err := body.ReadAll()
		results <- result{bytes: len(data), err: err, held: m.Held()}
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	got := <-results
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_ = resp.Body.Close()
	}
	_ = conn.Close()
	return got
}

func withLength(length, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
}

func inChunks(size, sent int, end string) string {
	text := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for ; sent > 0; sent -= size {
		n := min(size, sent)
		text += fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n))
	}
	return text + end
}

const endOfChunks = "0\r\n\r\n"

// TestBodies guards against bodies that break off and are taken for whole, and against reservations that don't cover what is
// read.
func TestBodies(t *testing.T) {
	for _, tt := range []struct {
		name  string
		text  string
		bytes int
		// held is the least that is reserved for a whole body.
		held int64
	}{
		{"length", withLength(50_000, 50_000), 50_000, 100_000},
		{"length that breaks off", withLength(50_000, 49_999), -1, 0},
		{"chunks", inChunks(1000, 50_000, endOfChunks), 50_000, 100_000},
		{"chunks of a byte", inChunks(1, 5_000, endOfChunks), 5_000, 10_000},
		{"chunks that break off after a chunk", inChunks(1000, 50_000, ""), -1, 0},
		{"chunks that break off in a chunk", inChunks(1000, 50_000, "10\r\nxx"), -1, 0},
		{"no body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 0, 0},
		{"largest length", withLength(maxBytes, maxBytes), maxBytes, 2 * maxBytes},
		{"largest chunks", inChunks(1000, maxBytes, endOfChunks), maxBytes, 2 * maxBytes},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := memory.New(limit)
			got := read(t, m, tt.text, intake.WithCopies(2))
			if tt.bytes < 0 && got.err == nil || tt.bytes >= 0 && (got.err != nil || got.bytes != tt.bytes || got.held < tt.held) {
				t.Errorf("got %d bytes, error %v, %d reserved", got.bytes, got.err, got.held)
			}
			if m.Held() != 0 {
				t.Errorf("%d bytes are held", m.Held())
			}
		})
	}
}

// TestRefusedBodies guards against bodies that are read although they are too large, or although there is no memory.
func TestRefusedBodies(t *testing.T) {
	var tooLarge *http.MaxBytesError
	for name, text := range map[string]string{
		"length": withLength(maxBytes+1, 10), "chunks": inChunks(1000, maxBytes+1, endOfChunks),
	} {
		if got := read(t, memory.New(limit), text); !errors.As(got.err, &tooLarge) {
			t.Errorf("%s over the limit: got error %v", name, got.err)
		}
	}
	const copies = 20
	for name, text := range map[string]string{"length": withLength(maxBytes, 10), "chunks": inChunks(1000, maxBytes, endOfChunks)} {
		if got := read(t, memory.New(limit), text, intake.WithCopies(copies)); !errors.Is(got.err, intake.ErrNoMemory) {
			t.Errorf("%s without memory: got error %v", name, got.err)
		}
	}
}

// TestFieldsAfterChunks guards against the fields after a body in chunks, which nothing uses, that are held as long as the
// request.
func TestFieldsAfterChunks(t *testing.T) {
	fields := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := memory.New(limit).NewReservation()
		defer held.Release()
		_, err := intake.New(w, r, held, intake.WithMaxBytes(maxBytes), intake.WithTimeout(time.Minute)).ReadAll()
		if err != nil {
			t.Error(err)
		}
		fields <- len(r.Trailer)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	text := inChunks(1000, 1000, "0\r\n")
	for i := range 100 {
		text += fmt.Sprintf("X-%d: x\r\n", i)
	}
	if _, err := io.WriteString(conn, text+"\r\n"); err != nil {
		t.Fatal(err)
	}
	if n := <-fields; n != 0 {
		t.Errorf("%d fields are held", n)
	}
}
