package log_test

import (
	"bytes"
	"sync"
	"testing"

	"github.com/crocusline/crocusline/modules/log"
)

// slow is a writer that waits until it is released.
type slow struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *slow) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// TestRing checks that a writer that hangs delays nobody, and that dropped lines
// are counted.
func TestRing(t *testing.T) {
	to := &slow{release: make(chan struct{})}
	r := log.NewAsyncWriter(to, 2)
	for range 10 {
		if _, err := r.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if d := r.Dropped(); d < 7 || d > 8 {
		t.Errorf("%d lines dropped, want 7 or 8", d)
	}
	close(to.release)
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	if got := int64(bytes.Count(to.out.Bytes(), []byte("\n"))); got != 10-r.Dropped() {
		t.Errorf("%d lines written, want %d", got, 10-r.Dropped())
	}
	if _, err := r.Write([]byte("after\n")); err != nil || r.Close() != nil {
		t.Errorf("writing after Close: %v", err)
	}
}
