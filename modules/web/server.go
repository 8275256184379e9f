// Package web provides an HTTP/1.1 and HTTP/2 server with drain and write timeouts.
package web

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/netmeter"
)

const (
	readHeaderTimeout   = 5 * time.Second
	idleTimeout         = 2 * time.Minute
	defaultDrainTimeout = 10 * time.Second
)

// Server is an HTTP server on one TCP address.
type Server struct {
	http            *http.Server
	listener        net.Listener
	drainTimeout    time.Duration
	writeTimeout    time.Duration
	meter           *netmeter.Meter
	bodyTimeout     time.Duration
	maxHeaderFields int
	connections     *connections
	done            sync.WaitGroup
}

// Option configures a Server.
type Option func(*Server)

// WithTLS enables TLS.
func WithTLS(config *tls.Config) Option {
	return func(s *Server) { s.http.TLSConfig = config }
}

// WithoutHTTP2 makes the server speak HTTP/1.1 only, and limits the TLS handshake. Over HTTP/2 a connection has many requests at once, whose headers are
// parsed and whose bodies are buffered before the handler can refuse them.
func WithoutHTTP2() Option {
	return func(s *Server) {
		s.http.Protocols.SetHTTP2(false)
		s.http.Protocols.SetUnencryptedHTTP2(false)
	}
}

// WithMaxHeaderBytes sets the maximum size of a request header.
func WithMaxHeaderBytes(n int) Option {
	return func(s *Server) { s.http.MaxHeaderBytes = n }
}

// WithDrainTimeout sets how long Close waits for running requests.
func WithDrainTimeout(d time.Duration) Option {
	return func(s *Server) { s.drainTimeout = d }
}

// WithWriteTimeout sets the timeout of each write of a response. By default, writes
// have no timeout.
func WithWriteTimeout(d time.Duration) Option {
	return func(s *Server) { s.writeTimeout = d }
}

// WithBodyTimeout sets how long after its header a request's body may arrive, also while the server skips
// what the handler has not read. A handler that has read the body clears the deadline, or sets its own.
func WithBodyTimeout(d time.Duration) Option {
	return func(s *Server) { s.bodyTimeout = d }
}

// WithErrorLog sets the log of errors of connections and of panics in handlers. By default they go to
// the standard logger.
func WithErrorLog(l *log.Logger) Option {
	return func(s *Server) { s.http.ErrorLog = l }
}

// WithMeter sets what counts the bytes of the connections.
func WithMeter(m *netmeter.Meter) Option {
	return func(s *Server) { s.meter = m }
}

// NewServer returns a server that listens on the address and serves the handler until
// Close.
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
			// A success of OPTIONS * would be taken for a backend server's.
			DisableGeneralOptionsHandler: true,
		},
		drainTimeout: defaultDrainTimeout,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.http.Handler = s.withProtocols(s.withBodyTimeout(s.withWriteTimeout(handler)))
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	listener = s.meter.Listener(listener)
	if s.connections != nil {
		s.connections.install(s.http)
		listener = &limitedListener{Listener: listener, connections: s.connections, plain: s.http.TLSConfig == nil}
	}
	if s.http.TLSConfig != nil {
		config := s.http.TLSConfig.Clone()
		config.NextProtos = []string{"http/1.1"}
		if s.http.Protocols.HTTP2() {
			config.NextProtos = []string{"h2", "http/1.1"}
		}
		listener = s.newTLSListener(listener, config)
	}
	if s.maxHeaderFields > 0 {
		listener = &headerListener{Listener: listener, maxFields: s.maxHeaderFields}
	}
	s.http.ConnState = s.recordState
	s.listener = listener
	s.done.Go(func() { _ = s.http.Serve(listener) })
	return s, nil
}

// newTLSListener returns a listener over TLS. net/http speaks HTTP/2 on connections of type tls.Conn only.
func (s *Server) newTLSListener(listener net.Listener, config *tls.Config) net.Listener {
	if s.http.Protocols.HTTP2() {
		return tls.NewListener(listener, config)
	}
	return &handshakeListener{Listener: listener, config: config, errorLog: s.http.ErrorLog}
}

// recordState prepares a connection for its next request.
func (s *Server) recordState(conn net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	if s.connections != nil {
		s.connections.setIdle(conn)
	}
	if c, ok := conn.(*headerConn); ok {
		c.header.reset()
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(s.listener.Addr().String())
	return address
}

// Close refuses new requests, waits for running ones until the drain timeout, and then
// closes all connections.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.drainTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = s.http.Close()
	}
	s.done.Wait()
	return err
}

// withProtocols refuses the start of an HTTP/2 connection if the server doesn't speak that. net/http passes it on as a
// request.
func (s *Server) withProtocols(next http.Handler) http.Handler {
	if s.http.Protocols.UnencryptedHTTP2() {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusHTTPVersionNotSupported)
	})
}

// withBodyTimeout sets the deadline of a request's body. A read after it fails, also one of the server
// itself, which then closes the connection.
func (s *Server) withBodyTimeout(next http.Handler) http.Handler {
	if s.bodyTimeout == 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// Connections of the server support deadlines.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.bodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

// withWriteTimeout sets a new deadline for each write of a response, so that a client
// that stops reading occupies its stream no longer than the write timeout. Between writes there is
// none, as it would end a stream whose next part comes later.
func (s *Server) withWriteTimeout(next http.Handler) http.Handler {
	if s.writeTimeout == 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tw := &timeoutWriter{ResponseWriter: w, timeout: s.writeTimeout}
		// net/http writes the end of the response after the handler.
		defer func() { _ = tw.setDeadline() }()
		next.ServeHTTP(tw, r)
	})
}

// timeoutWriter sets the write deadline for each write.
type timeoutWriter struct {
	http.ResponseWriter
	timeout time.Duration
}

// WriteHeader implements http.ResponseWriter. It writes interim responses at once.
func (w *timeoutWriter) WriteHeader(statusCode int) {
	// An error also ends the next write.
	_ = w.setDeadline()
	w.ResponseWriter.WriteHeader(statusCode)
	_ = w.clearDeadline()
}

func (w *timeoutWriter) Write(p []byte) (int, error) {
	if err := w.setDeadline(); err != nil {
		return 0, err
	}
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.clearDeadline()
}

// FlushError is called by http.ResponseController.
func (w *timeoutWriter) FlushError() error {
	if err := w.setDeadline(); err != nil {
		return err
	}
	if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
		return err
	}
	return w.clearDeadline()
}

// Flush implements http.Flusher.
func (w *timeoutWriter) Flush() {
	_ = w.FlushError()
}

// Unwrap is called by http.ResponseController to get the underlying writer.
func (w *timeoutWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

func (w *timeoutWriter) setDeadline() error { return w.deadline(time.Now().Add(w.timeout)) }

func (w *timeoutWriter) clearDeadline() error { return w.deadline(time.Time{}) }

func (w *timeoutWriter) deadline(t time.Time) error {
	err := http.NewResponseController(w.ResponseWriter).SetWriteDeadline(t)
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
