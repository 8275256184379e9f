package relay

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/services/memory"
)

// TestReadEvent checks that an event is returned only with the empty line that ends
// it, however the stream ends.
func TestReadEvent(t *testing.T) {
	reader := bufio.NewReaderSize(strings.NewReader("id: 7\ndata: "+strings.Repeat("x", 100)+"\n\nid: 8\r\ndata: y\r\n\r\nid: 9\ndata"), 16)
	s := &Service{memory: memory.New(memory.DefaultLimit)}
	buffer := &responseBuffer{service: s}
	for _, id := range []string{"7", "8"} {
		event, err := readEvent(reader, buffer)
		if err != nil || eventID(event) != id {
			t.Fatalf("got %q and %v, want event %s", event, err, id)
		}
	}
	if _, err := readEvent(reader, buffer); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("incomplete event: got %v", err)
	}
	if event, err := readEvent(bufio.NewReader(strings.NewReader("")), buffer); len(event) != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("end of stream: got %q and %v", event, err)
	}
	if _, err := readEvent(bufio.NewReader(strings.NewReader(strings.Repeat("x", maxEventBytes+10))), buffer); err == nil {
		t.Error("oversized event was accepted")
	}
}

// TestReadEventLineLength checks that a line which fills the reader's buffer does not end its event
// before the empty line.
func TestReadEventLineLength(t *testing.T) {
	const readerSize = 16
	s := &Service{memory: memory.New(memory.DefaultLimit)}
	for length := 1; length <= 4*readerSize; length++ {
		first := "data: " + strings.Repeat("x", length) + "\nid: 7\n\n"
		second := "id: 8\n\n"
		reader := bufio.NewReaderSize(strings.NewReader(first+second), readerSize)
		buffer := &responseBuffer{service: s}
		for _, want := range []string{first, second} {
			if event, err := readEvent(reader, buffer); err != nil || string(event) != want {
				t.Errorf("length %d: got %q and %v, want %q", length, event, err, want)
			}
		}
	}
}
