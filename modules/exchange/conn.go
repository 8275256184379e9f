package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readBufferSize = 4 << 10
	// maxInlineBody is the size in bytes up to which a request body is written before
	// the response is read. Larger bodies are written concurrently, since a server may
	// respond before it has read them.
	maxInlineBody = 16 << 10
	// maxForeignResponses is the number of responses to other requests that are
	// skipped before the connection is closed.
	maxForeignResponses = 2
	// maxHeadBytes limits the status lines and headers before a response's body, including
	// those of interim responses.
	maxHeadBytes = 16 << 10
	// maxHeadFields limits the fields of a head. Each takes many times its bytes in memory.
	maxHeadFields = 128
	// maxSkippedBytes limits the body of a response to another request. A longer one closes
	// the connection.
	maxSkippedBytes = 512 << 10
	// maxErrorBytes limits the text of the error for a response that can't be decoded.
	maxErrorBytes = 256
	// idleMargin is subtracted from the server's keep-alive timeout, so that the
	// client stops using a connection before the server closes it.
	idleMargin = 500 * time.Millisecond
)

// conn is a connection that carries one request at a time.
type conn struct {
	client  *Client
	address netip.AddrPort
	netConn net.Conn
	// metered is netConn with its bytes counted, for reads and writes.
	metered net.Conn
	limit   *limitedReader
	reader  *bufio.Reader
	// openedAt is when the connection was established.
	openedAt time.Time
	// idleSince is the time at which the last request ended, or at which the connection was established.
	idleSince time.Time
	// idleTimeout is how long the connection may stay idle.
	idleTimeout time.Duration
	// reused is set once the connection has carried a request, and ids are those of the last ones.
	reused bool
	ids    recentIDs
	// writing is set while a request is written.
	writing atomic.Bool
	// watching is for the goroutine that watches what the server's system acknowledges.
	watching  sync.WaitGroup
	closeOnce sync.Once
}

func newConn(c *Client, address netip.AddrPort, netConn net.Conn) *conn {
	metered := c.meter.Conn(netConn)
	limit := &limitedReader{reader: metered}
	now := time.Now()
	return &conn{
		client: c, address: address, netConn: netConn, metered: metered, limit: limit, openedAt: now, idleSince: now,
		reader: bufio.NewReaderSize(limit, readBufferSize), idleTimeout: c.idleTimeout,
	}
}

// errHeadTooLong is returned for a response whose head is longer than maxHeadBytes or has more than
// maxHeadFields.
var errHeadTooLong = errors.Errorf("the response's head exceeds %d bytes or %d fields", maxHeadBytes, maxHeadFields)

// limitedReader limits the bytes and lines that are read while it is enabled.
type limitedReader struct {
	reader  io.Reader
	enabled bool
	left    int
	// lines is the number of lines read of a head. The read that ends a head may exceed the limit, as
	// it may have read a part of the body.
	lines int
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.enabled {
		return l.reader.Read(p)
	}
	if l.left <= 0 || l.lines > maxHeadFields {
		return 0, errHeadTooLong
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.lines += bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.metered.Close()
		c.client.release(c.address)
	})
}

// abandon closes the connection while it carries a request.
func (c *conn) abandon() {
	c.hangUp()
	c.close()
}

// hangUp closes the socket while it carries a request. An orderly close waits behind bytes that the server's system has
// no room for, which is why it resets the connection then. A reset that is lost isn't repeated, so that it is used only
// then.
func (c *conn) hangUp() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok && (c.writing.Load() || closeWaits(tcp)) {
		// If this fails, the close is orderly.
		_ = tcp.SetLinger(0)
	}
	_ = c.netConn.Close()
}

// usable reports whether the connection is still open and no unsolicited bytes have
// arrived on it.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	var peeked [1]byte
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

// trackingWriter records whether any byte was written to the connection.
type trackingWriter struct {
	net.Conn
	written bool
}

func (w *trackingWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.written = w.written || n > 0
	return n, err
}

// roundTrip writes the request and reads the status line and header of its response.
func (c *conn) roundTrip(ctx context.Context, r *Request) (*http.Response, error) {
	c.ids.add(r.ID)
	end := func(error) {}
	if len(r.Body) > maxInlineBody {
		ctx, end = context.WithCancelCause(ctx)
	}
	stop := c.hangUpAfter(ctx, r, end)
	// Checked again, as the process may have stood still since then.
	if err := Ended(ctx); err != nil {
		stop()
		c.close()
		r.released()
		return nil, &NotSentError{Address: c.address, Err: err}
	}
	writer := &trackingWriter{Conn: c.metered}
	result := newWriteResult()
	write := func() error {
		defer c.writing.Store(false)
		return writeRequest(writer, r)
	}
	c.writing.Store(true)
	if len(r.Body) > maxInlineBody {
		go func() {
			// The goroutine may run late.
			if err := Ended(ctx); err != nil {
				c.writing.Store(false)
				result.set(err)
				return
			}
			result.set(write())
		}()
		c.watchAcknowledgements(ctx, end)
	} else {
		err := write()
		result.set(err)
		if err != nil {
			err = contextCauseOr(ctx, err)
			stop()
			c.abandon()
			r.released()
			return nil, &NoResponseError{Address: c.address, Written: writer.written, Reused: c.reused, Err: err}
		}
	}
	resp, err := c.readResponse(r)
	if err != nil {
		err = contextCauseOr(ctx, err)
		stop()
		c.abandon()
		r.released()
		// Part of a body that is written concurrently may already have been sent.
		written := len(r.Body) > maxInlineBody || writer.written
		return nil, &NoResponseError{Address: c.address, Written: written, Reused: c.reused, Err: err}
	}
	c.idleTimeout = min(c.client.idleTimeout, keepAliveTimeout(resp.Header, c.client.idleTimeout))
	resp.Body = &body{
		conn: c, request: r, reader: resp.Body, writeResult: result, stopCancel: stop, ctx: ctx, reusable: allowsReuse(resp),
		endsWithConnection: endsWithConnection(resp),
	}
	return resp, nil
}

// hangUpAfter closes the connection at the end of the context. The function that it returns stops that and ends the
// context. If it returns false, the connection has been closed.
func (c *conn) hangUpAfter(ctx context.Context, r *Request, end context.CancelCauseFunc) (stop func() bool) {
	closed := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(closed)
		c.hangUp()
		r.released()
	})
	return func() bool {
		stopped := cancel()
		end(nil)
		if !stopped {
			// A read that fails may return before the socket is closed.
			<-closed
		}
		c.watching.Wait()
		return stopped
	}
}

// contextCauseOr returns the cause of the context's end if the context has ended,
// and err otherwise.
func contextCauseOr(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.WithStack(context.Cause(ctx))
	}
	return errors.WithStack(err)
}

// readResponse reads the status line and header of the response to this request. It
// skips interim (1xx) responses and a few responses to other requests. A message with another status than those of
// responses is none, also if it names another request.
func (c *conn) readResponse(r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	c.limit.left = maxHeadBytes
	for skipped := 0; ; {
		c.limit.enabled, c.limit.lines = true, 0
		resp, err := http.ReadResponse(c.reader, req)
		c.limit.enabled = false
		if err != nil {
			return nil, shortError(err)
		}
		if fieldCount(resp.Header) > maxHeadFields {
			return nil, errHeadTooLong
		}
		if interim(resp.StatusCode) {
			continue
		}
		if !ValidStatus(resp.StatusCode) {
			return nil, errors.WithStack(&StatusError{Status: resp.StatusCode})
		}
		if r.IsForeign == nil || !r.IsForeign(resp.Header, c.reused) {
			return resp, nil
		}
		if skipped++; skipped > maxForeignResponses || !allowsReuse(resp) {
			return nil, errors.New("received the response to another request")
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxSkippedBytes); !errors.Is(err, io.EOF) {
			return nil, errors.Errorf("skip the response to another request: %v after at most %d bytes", err, maxSkippedBytes)
		}
	}
}

func fieldCount(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// shortError returns the error without most of what it quotes of a response that can't be decoded.
func shortError(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.Errorf("%s... (%d bytes)", strings.ToValidUTF8(text[:maxErrorBytes], ""), len(text))
	}
	return errors.WithStack(err)
}

// allowsReuse reports whether the connection can be used again after the response.
func allowsReuse(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return framed && !resp.Close && resp.ProtoAtLeast(1, 1)
}

// keepAliveTimeout returns the timeout in the Keep-Alive header less idleMargin, or
// fallback if the header has none.
func keepAliveTimeout(h http.Header, fallback time.Duration) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return max(0, time.Duration(seconds)*time.Second-idleMargin)
	}
	return fallback
}

// body is a response body. When it is closed, its connection is either returned to
// the pool or closed.
type body struct {
	conn    *conn
	request *Request
	reader  io.ReadCloser
	// writeResult is the result of writing the request.
	writeResult *writeResult
	// stopCancel stops closing the connection at the end of the context. It returns
	// false if the connection has been closed.
	stopCancel func() bool
	ctx        context.Context
	// reusable is false if the response or a read error rules out further requests.
	reusable bool
	// endsWithConnection is whether nothing but the end of the connection ends the body.
	endsWithConnection bool
	// complete is set once the body was read to its end.
	complete bool
	// endErr is the error of a body whose end is not proven.
	endErr error
	closed bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.endErr != nil {
		return 0, b.endErr
	}
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) && b.endsWithConnection && !b.complete {
		if b.endErr = b.checkEnd(); b.endErr != nil {
			err = b.endErr
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
	case err != nil:
		b.reusable = false
		err = contextCauseOr(b.ctx, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	defer b.request.released()
	open := b.stopCancel()
	if open && b.reusable && b.complete && b.writeResult.succeeded() && b.conn.reader.Buffered() == 0 {
		b.conn.reused, b.conn.idleSince = true, time.Now()
		b.conn.client.putIdle(b.conn)
		return nil
	}
	if b.complete {
		b.conn.close()
		return nil
	}
	b.conn.abandon()
	return nil
}
