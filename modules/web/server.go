// Package web serves HTTP/1.1 and HTTP/2 on one TCP address.
package web

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	defaultDrain      = 10 * time.Second
)

// Server is an HTTP server that listens from New on.
type Server struct {
	http     *http.Server
	listener net.Listener
	drain    time.Duration
	write    time.Duration
	done     sync.WaitGroup
}

// Option changes a new Server.
type Option func(*Server)

// WithTLS serves over TLS.
func WithTLS(config *tls.Config) Option {
	return func(s *Server) { s.http.TLSConfig = config }
}

// WithMaxHeaderBytes sets the largest request header.
func WithMaxHeaderBytes(n int) Option {
	return func(s *Server) { s.http.MaxHeaderBytes = n }
}

// WithDrainTimeout sets how long Close waits for requests under way.
func WithDrainTimeout(d time.Duration) Option {
	return func(s *Server) { s.drain = d }
}

// WithWriteTimeout sets how long a client may take to read one part of an
// answer.
func WithWriteTimeout(d time.Duration) Option {
	return func(s *Server) { s.write = d }
}

// NewServer returns a server that serves the handler on the address.
func NewServer(address netip.AddrPort, handler http.Handler, opts ...Option) (*Server, error) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{
		http: &http.Server{
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			Protocols:         protocols,
		},
		drain: defaultDrain,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.http.Handler = s.limitWrites(handler)
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	if s.http.TLSConfig != nil {
		config := s.http.TLSConfig.Clone()
		config.NextProtos = []string{"h2", "http/1.1"}
		listener = tls.NewListener(listener, config)
	}
	s.listener = listener
	s.done.Go(func() { _ = s.http.Serve(listener) })
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(s.listener.Addr().String())
	return address
}

// Close takes no new requests and waits for those under way, but no longer than
// the drain time.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.drain)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = s.http.Close()
	}
	s.done.Wait()
	return err
}

// limitWrites gives each write of an answer a deadline of its own, so that a
// client that stops reading holds its stream no longer than that.
func (s *Server) limitWrites(next http.Handler) http.Handler {
	if s.write == 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&limitedWriter{ResponseWriter: w, timeout: s.write}, r)
	})
}

// limitedWriter moves the write deadline on with each write.
type limitedWriter struct {
	http.ResponseWriter
	timeout time.Duration
}

func (w *limitedWriter) Write(p []byte) (int, error) {
	if err := w.extend(); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(p)
}

// FlushError implements what http.ResponseController looks for.
func (w *limitedWriter) FlushError() error {
	if err := w.extend(); err != nil {
		return err
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush implements http.Flusher.
func (w *limitedWriter) Flush() {
	_ = w.FlushError()
}

// Unwrap lets http.ResponseController reach the connection's writer.
func (w *limitedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

func (w *limitedWriter) extend() error {
	err := http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
