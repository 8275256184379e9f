package dispatch

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/crocusline/crocusline/services/memory"
)

// responseMemory is a limit that leaves 128 KiB to responses, beside what each may hold.
const responseMemory = 1 << 20

// TestRelayWithoutMemory guards against a long response that ends, or takes memory, because its tokens can't be kept for
// another server.
func TestRelayWithoutMemory(t *testing.T) {
	m := memory.New(responseMemory)
	sink := &recordingSink{}
	r := relay{sink: sink, response: m.NewResponse()}
	const chunks = 1000
	token := strings.Repeat("x", 1000)
	for i := range int64(chunks) {
		if err := r.add(i, []string{token}); err != nil {
			t.Fatal(err)
		}
	}
	if len(sink.text) != chunks || r.checkComplete(chunks) != nil {
		t.Errorf("the caller got %d tokens, complete: %v", len(sink.text), r.checkComplete(chunks))
	}
	if !r.dropped || r.tokens != nil || m.Held() != 0 {
		t.Errorf("dropped %t, %d tokens kept, %d bytes held", r.dropped, len(r.tokens), m.Held())
	}
}

// TestLargeMessages guards against large messages of a stream that are read without memory for them, also if their header
// comes in parts, and against small ones that are refused.
func TestLargeMessages(t *testing.T) {
	message := func(size int) []byte {
		return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(size)), make([]byte, size)...)
	}
	for _, tt := range []struct {
		name     string
		messages []int
		fits     bool
	}{
		{"small messages", []int{0, 10, 4 << 10, 100, 0}, true},
		{"large ones, one after the other", []int{40 << 10, 40 << 10, 1, 40 << 10, 40 << 10}, true},
		{"one that is too large", []int{10, 60 << 10, 10}, false},
	} {
		for _, part := range []int{1, 7, 1 << 20} {
			var sent bytes.Buffer
			for _, size := range tt.messages {
				sent.Write(message(size))
			}
			want := sent.Len()
			m := memory.New(responseMemory)
			response := m.NewResponse()
			body := &limitedBody{ReadCloser: io.NopCloser(&sent), response: response}
			got, err := 0, error(nil)
			for p := make([]byte, part); err == nil; {
				var n int
				n, err = body.Read(p)
				got += n
			}
			var noMemory *memory.ResponseError
			if fits := errors.Is(err, io.EOF) && got == want; fits != tt.fits || fits == errors.As(err, &noMemory) {
				t.Errorf("%s in parts of %d: read %d of %d bytes, error %v", tt.name, part, got, want, err)
			}
			response.Release()
			if m.Held() != 0 {
				t.Errorf("%s: %d bytes are held", tt.name, m.Held())
			}
		}
	}
}
