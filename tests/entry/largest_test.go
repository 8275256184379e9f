package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusline/crocusline/standin/crowd"
)

// largestRounds is how often each of the largest calls is sent, one after the other.
const largestRounds = 3

// largestCalls write a call of callBytes to the end.
var largestCalls = []struct {
	name  string
	write func(w io.Writer, number int, field string) error
}{
	{"length", func(w io.Writer, number int, field string) error {
		return crowd.WriteLength(w, callHead(callPath, "application/proto", authorization, field), encode(booking(number, callBytes)), true, callBytes, 0)
	}},
	{"chunks of 64 KiB", func(w io.Writer, number int, field string) error {
		return crowd.WriteChunks(w, callHead(callPath, "application/proto", authorization, field), encode(booking(number, callBytes)), true, 64<<10)
	}},
	{"chunks of one byte", func(w io.Writer, number int, field string) error {
		return crowd.WriteChunks(w, callHead(callPath, "application/proto", authorization, field), encode(booking(number, callBytes)), true, 1)
	}},
	{"compressed", func(w io.Writer, number int, field string) error {
		head := callHead(callPath, "application/proto", authorization, field, "Content-Encoding: gzip")
		return crowd.WriteLength(w, head, compress(encode(booking(number, callBytes))), true, callBytes, 0)
	}},
	{"envelope", func(w io.Writer, number int, field string) error {
		head := callHead(submitPath, "application/connect+proto", authorization, field)
		return crowd.WriteChunks(w, head, envelope(0, encode(booking(number, callBytes).GetRequest())), true, 64<<10)
	}},
	{"compressed envelope", func(w io.Writer, number int, field string) error {
		head := callHead(submitPath, "application/connect+proto", authorization, field, "Connect-Content-Encoding: gzip")
		return crowd.WriteChunks(w, head, envelope(compressedFlag, compress(encode(booking(number, callBytes).GetRequest()))), true, 64<<10)
	}},
}

// TestLargestCalls guards against a limit that refuses single calls of the largest size, with the largest header, in
// one of the framings that callers may use.
func TestLargestCalls(t *testing.T) {
	f := newFleet(t, false)
	field := crowd.LongField(headerBytes)
	for i := range largestRounds {
		for n, c := range largestCalls {
			status, body := f.send(t, func(w io.Writer) error { return c.write(w, i*len(largestCalls)+n, field) })
			if status != http.StatusOK || !bytes.Contains(body, []byte("confirmation")) {
				t.Errorf("%s: got status %d and %d bytes: %.300q", c.name, status, len(body), body)
			}
		}
	}
}

// send sends one request over a connection of its own, and returns the status and the body of the response.
func (f *fleet) send(t *testing.T, write func(w io.Writer) error) (int, []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.URL(entryName), "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(recoveryTimeout)); err != nil {
		t.Fatal(err)
	}
	// A refusal may come before the end of the request.
	writeErr := write(conn)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(fmt.Errorf("write: %w, read: %w", writeErr, err))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, body
}
