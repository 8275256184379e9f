package log

import (
	"io"
	"sync"
	"sync/atomic"
)

// DefaultBufferedLines is the default capacity of the buffer of an AsyncWriter, which
// is enough for several seconds of a busy entry.
const DefaultBufferedLines = 4096

// AsyncWriter writes lines to a slower writer in the background. Lines that do not fit
// into the buffer are dropped and counted, so that logging never blocks the caller.
type AsyncWriter struct {
	dst     io.Writer
	buffer  chan []byte
	dropped atomic.Int64
	closing sync.RWMutex
	closed  bool
	done    sync.WaitGroup
}

// NewAsyncWriter returns an AsyncWriter that buffers up to the number of lines.
func NewAsyncWriter(dst io.Writer, lines int) *AsyncWriter {
	w := &AsyncWriter{dst: dst, buffer: make(chan []byte, lines)}
	w.done.Go(w.writeLoop)
	return w
}

// Write implements io.Writer. It does not block before Close.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.closing.RLock()
	defer w.closing.RUnlock()
	if w.closed {
		return w.dst.Write(line)
	}
	select {
	case w.buffer <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and stops buffering. Later lines are written
// directly.
func (w *AsyncWriter) Close() error {
	w.closing.Lock()
	if w.closed {
		w.closing.Unlock()
		return nil
	}
	w.closed = true
	close(w.buffer)
	w.closing.Unlock()
	w.done.Wait()
	return nil
}

func (w *AsyncWriter) writeLoop() {
	for line := range w.buffer {
		if _, err := w.dst.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}
