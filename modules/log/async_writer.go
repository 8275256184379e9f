package log

import (
	"io"
	"sync"
	"sync/atomic"
)

// DefaultBufferedLines is the number of lines that a Ring holds: some seconds of a busy
// entry.
const DefaultBufferedLines = 4096

// AsyncWriter writes lines to a slower writer in the background. A line that finds the
// ring full is dropped and counted, so that nobody waits for the log.
type AsyncWriter struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing sync.RWMutex
	closed  bool
	done    sync.WaitGroup
}

// NewAsyncWriter returns a ring of that many lines before the writer.
func NewAsyncWriter(to io.Writer, lines int) *AsyncWriter {
	r := &AsyncWriter{to: to, lines: make(chan []byte, lines)}
	r.done.Go(r.write)
	return r
}

// Write implements io.Writer. It never waits.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	r.closing.RLock()
	defer r.closing.RUnlock()
	if r.closed {
		return r.to.Write(line)
	}
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped.
func (r *AsyncWriter) Dropped() int64 { return r.dropped.Load() }

// Close writes the lines that wait. Later lines are written directly.
func (r *AsyncWriter) Close() error {
	r.closing.Lock()
	if r.closed {
		r.closing.Unlock()
		return nil
	}
	r.closed = true
	close(r.lines)
	r.closing.Unlock()
	r.done.Wait()
	return nil
}

func (r *AsyncWriter) write() {
	for line := range r.lines {
		if _, err := r.to.Write(line); err != nil {
			r.dropped.Add(1)
		}
	}
}
