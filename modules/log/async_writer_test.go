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
