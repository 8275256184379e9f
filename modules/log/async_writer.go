package log

import (
	"io"
	"sync"
	"sync/atomic"
)

// DefaultBufferedLines is the default capacity of the buffer of an AsyncWriter, which
// is enough for several seconds of a busy entry.
const DefaultBufferedLines = 4096

// maxBufferedBytes limits the size of the lines in a buffer together.
const maxBufferedBytes = 4 << 20

// AsyncWriter writes lines to a slower writer in the background. Lines that do not fit
// into the buffer are dropped and counted, so that logging never blocks the caller.
type AsyncWriter struct {
	dst    io.Writer
	buffer chan []byte
	// bufferedBytes is the size of the lines in the buffer.
	bufferedBytes atomic.Int64
	dropped       atomic.Int64
	closing       sync.RWMutex
	closed        bool
	done          sync.WaitGroup
}

// NewAsyncWriter returns an AsyncWriter that buffers up to the number of lines, of up to
// maxBufferedBytes together.
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
	if !w.enqueue(line) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// enqueue adds a copy of the line to the buffer, unless the buffer is full.
func (w *AsyncWriter) enqueue(line []byte) bool {
	size := int64(len(line))
	if w.bufferedBytes.Add(size) <= maxBufferedBytes {
		select {
		case w.buffer <- append([]byte(nil), line...):
			return true
		default:
		}
	}
	w.bufferedBytes.Add(-size)
	return false
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
		w.bufferedBytes.Add(-int64(len(line)))
		if _, err := w.dst.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}
