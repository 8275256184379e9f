package log_test

import (
	"bytes"
	"sync"
	"testing"

	"github.com/crocusline/crocusline/modules/log"
)

// blockingWriter is a writer that blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// Writes must not block while the underlying writer blocks, and dropped lines must be
// counted.
func TestAsyncWriter(t *testing.T) {
	dst := &blockingWriter{release: make(chan struct{})}
	w := log.NewAsyncWriter(dst, 2)
	for range 10 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if d := w.Dropped(); d < 7 || d > 8 {
		t.Errorf("%d lines dropped, want 7 or 8", d)
	}
	close(dst.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if got := int64(bytes.Count(dst.out.Bytes(), []byte("\n"))); got != 10-w.Dropped() {
		t.Errorf("%d lines written, want %d", got, 10-w.Dropped())
	}
	if _, err := w.Write([]byte("after\n")); err != nil || w.Close() != nil {
		t.Errorf("writing after Close: %v", err)
	}
}

// TestAsyncWriterLongLines checks that long lines are dropped before they fill the memory, and that
// lines fit again after the others were written.
func TestAsyncWriterLongLines(t *testing.T) {
	const (
		lineBytes = 256 << 10
		lines     = 100
		// maxBytes is what all buffered lines may take, with the one that is being written.
		maxBytes = 5 << 20
	)
	dst := &blockingWriter{release: make(chan struct{})}
	w := log.NewAsyncWriter(dst, log.DefaultBufferedLines)
	for range lines {
		if _, err := w.Write(bytes.Repeat([]byte("x"), lineBytes)); err != nil {
			t.Fatal(err)
		}
	}
	if kept := (lines - w.Dropped()) * lineBytes; kept > maxBytes || kept < maxBytes/2 {
		t.Errorf("%d bytes are buffered, want at most %d and not much less", kept, maxBytes)
	}
	close(dst.release)
	for dropped := int64(-1); dropped != w.Dropped(); {
		dropped = w.Dropped()
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if written := bytes.Count(dst.out.Bytes(), []byte("\n")); written != 1 {
		t.Errorf("%d short lines written, want the one that was not dropped", written)
	}
}
