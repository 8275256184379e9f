package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readBuffer = 4 << 10
	// largestInlineBody is written before the answer is awaited. Larger bodies are
	// written beside it, since a server may answer before it has read them.
	largestInlineBody = 16 << 10
	// mostForeign is the number of answers to other requests that are skipped.
	mostForeign = 2
	// keepMargin is how much earlier than the server a connection is given up.
	keepMargin = 500 * time.Millisecond
)

// conn is one connection. One request uses it at a time.
type conn struct {
	client  *Client
	address netip.AddrPort
	raw     net.Conn
	reader  *bufio.Reader
	used    time.Time
	// keep is how long the server keeps it unused.
	keep time.Duration
	// earlier says that it carried a request before.
	earlier bool
	once    sync.Once
}

func newConn(c *Client, address netip.AddrPort, raw net.Conn) *conn {
	return &conn{client: c, address: address, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), keep: c.idle}
}

func (k *conn) close() {
	k.once.Do(func() {
		_ = k.raw.Close()
		k.client.release(k.address)
	})
}

// quiet says that the connection is open and nothing arrived unasked.
func (k *conn) quiet() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	sys, ok := k.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// countingWriter notes whether anything was written.
type countingWriter struct {
	net.Conn
	written bool
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.written = w.written || n > 0
	return n, err
}

// roundTrip sends the request and reads the head of its answer.
func (k *conn) roundTrip(ctx context.Context, r *Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = k.raw.Close() })
	out := &countingWriter{Conn: k.raw}
	req := outgoing(r)
	sent := make(chan error, 1)
	if len(r.Body) > largestInlineBody {
		go func() { sent <- req.Write(out) }()
	} else {
		err := req.Write(out)
		sent <- err
		if err != nil {
			stop()
			k.close()
			return nil, &NoResponseError{Address: k.address, Written: out.written, Reused: k.earlier, Err: cause(ctx, err)}
		}
	}
	resp, err := k.readHead(req, r)
	if err != nil {
		stop()
		k.close()
		// A body that is written beside the answer has begun, or may have.
		written := len(r.Body) > largestInlineBody || out.written
		return nil, &NoResponseError{Address: k.address, Written: written, Reused: k.earlier, Err: cause(ctx, err)}
	}
	k.keep = min(k.client.idle, keepAliveOf(resp.Header, k.client.idle))
	resp.Body = &body{conn: k, from: resp.Body, sent: sent, stop: stop, ctx: ctx, sound: keepable(resp)}
	return resp, nil
}

// cause names the end of the context before the error that it led to.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.WithStack(context.Cause(ctx))
	}
	return errors.WithStack(err)
}

// outgoing returns the request in the library's form, which writes it.
func outgoing(r *Request) *http.Request {
	req := &http.Request{
		Method: r.Method,
		URL:    &url.URL{Scheme: "http", Host: r.Host, Opaque: r.Target},
		Host:   r.Host,
		Header: r.Header,
	}
	if _, named := r.Header["User-Agent"]; !named {
		req.Header["User-Agent"] = []string{""}
	}
	if len(r.Body) > 0 {
		req.ContentLength = int64(len(r.Body))
		req.Body = io.NopCloser(strings.NewReader(string(r.Body)))
	}
	return req
}

// readHead reads the head of the answer to this request, past those of others.
func (k *conn) readHead(req *http.Request, r *Request) (*http.Response, error) {
	for skipped := 0; ; {
		resp, err := http.ReadResponse(k.reader, req)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if r.IsForeign == nil || !r.IsForeign(resp.Header) {
			return resp, nil
		}
		if skipped++; skipped > mostForeign || !keepable(resp) {
			return nil, errors.New("the answer belongs to another request")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Wrap(err, "skip the answer to another request")
		}
	}
}

// keepable says whether the connection can be used after the answer.
func keepable(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return framed && !resp.Close && resp.ProtoAtLeast(1, 1)
}

// keepAliveOf is how long the server says that it keeps the connection.
func keepAliveOf(h http.Header, otherwise time.Duration) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return max(0, time.Duration(seconds)*time.Second-keepMargin)
	}
	return otherwise
}

// body is an answer's body. Its end decides what becomes of the connection.
type body struct {
	conn  *conn
	from  io.ReadCloser
	sent  chan error
	stop  func() bool
	ctx   context.Context
	sound bool
	whole bool
	done  bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.whole = true
	case err != nil:
		b.sound = false
		err = cause(b.ctx, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	running := b.stop()
	if running && b.sound && b.whole && b.written() && b.conn.reader.Buffered() == 0 {
		b.conn.earlier = true
		b.conn.client.keep(b.conn)
		return nil
	}
	b.conn.close()
	return nil
}

// written says whether the whole request is out.
func (b *body) written() bool {
	select {
	case err := <-b.sent:
		return err == nil
	default:
		return false
	}
}
