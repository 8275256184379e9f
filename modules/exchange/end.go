package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// uploadGrace is how long a request may still be written after the server has ended its side of the connection. A
	// server that reads the rest then needs 0.1 s for 100,000 bytes over a link of 10 Mbit/s.
	uploadGrace = time.Second
	// uploadInterval is the time between two checks of what the server's system has acknowledged.
	uploadInterval = 5 * time.Millisecond
)

// tcpCloseWait is the state of a connection that the peer has ended in order and that was not reset, as TCP_INFO has it.
const tcpCloseWait = 8

// EndError is returned in place of io.EOF at the end of a body that ends with its connection, if the connection was not
// closed cleanly in both directions. The body may be incomplete.
type EndError struct {
	// Unacknowledged is the number of bytes written that the server's system has not acknowledged.
	Unacknowledged int
	// Err is why the request was not written or what became of the connection.
	Err error
}

// Error implements error.
func (e *EndError) Error() string {
	return fmt.Sprintf("response without length ended before the request was received, %d bytes unacknowledged: %v", e.Unacknowledged, e.Err)
}

// Unwrap returns io.ErrUnexpectedEOF and the cause.
func (e *EndError) Unwrap() []error { return []error{io.ErrUnexpectedEOF, e.Err} }

var (
	errUnfinishedWrite = errors.New("the request is not written completely")
	errReset           = errors.New("the connection was reset")
)

// endsWithConnection reports whether nothing but the end of the connection ends the response's body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// writeResult is the result of writing a request.
type writeResult struct {
	done chan struct{}
	err  error
}

func newWriteResult() *writeResult { return &writeResult{done: make(chan struct{})} }

// set records the result. It is called once.
func (w *writeResult) set(err error) {
	w.err = err
	close(w.done)
}

// succeeded reports whether the whole request was written without an error.
func (w *writeResult) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// await returns the error of the write, or errUnfinishedWrite if it isn't done before the context ends.
func (w *writeResult) await(ctx context.Context) error {
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
		return errUnfinishedWrite
	}
}

// checkEnd returns an EndError unless the request was written and the connection, on which the server has ended its side,
// was not reset. The error of a reset is returned once only: if the write of the request receives it, the read returns an
// orderly end.
func (b *body) checkEnd() error {
	ctx, cancel := context.WithTimeout(b.ctx, uploadGrace)
	defer cancel()
	if err := b.writeResult.await(ctx); err != nil {
		return &EndError{Unacknowledged: unacknowledged(b.conn.netConn), Err: contextCauseOr(b.ctx, err)}
	}
	return checkConnEnd(ctx, b.conn.netConn)
}

// checkConnEnd returns an EndError unless the server has received all bytes that were written before the context ends, and
// the connection was not reset. Where the system says nothing about its connections, it returns nil.
func checkConnEnd(ctx context.Context, conn net.Conn) error {
	raw, ok := rawConn(conn)
	if !ok {
		return nil
	}
	ticker := time.NewTicker(uploadInterval)
	defer ticker.Stop()
	for {
		queued, err := queuedBytes(raw, unix.SIOCOUTQ)
		if errors.Is(err, net.ErrClosed) {
			return &EndError{Err: err}
		}
		if err != nil {
			return nil
		}
		// Read last, as a connection that was reset acknowledges nothing more.
		info, err := tcpInfo(raw)
		switch {
		case err != nil:
			return nil
		case info.State != tcpCloseWait:
			return &EndError{Unacknowledged: queued, Err: errors.WithStack(errReset)}
		case queued == 0:
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &EndError{Unacknowledged: queued, Err: errors.WithStack(errUnfinishedWrite)}
		}
	}
}

// unacknowledged returns the number of bytes written that the peer's system has not acknowledged, or 0 if that is unknown.
func unacknowledged(conn net.Conn) int {
	if raw, ok := rawConn(conn); ok {
		if queued, err := queuedBytes(raw, unix.SIOCOUTQ); err == nil {
			return queued
		}
	}
	return 0
}

// rawConn returns the connection's socket, if it has one.
func rawConn(conn net.Conn) (syscall.RawConn, bool) {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sys.SyscallConn()
	return raw, err == nil
}
