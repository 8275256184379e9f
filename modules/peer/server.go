package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Server serves peers over HTTP/3.
type Server struct {
	http         *http3.Server
	conn         net.PacketConn
	drainTimeout time.Duration
	stopped      chan error
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithDrainTimeout sets how long Close lets running requests go on before it aborts them.
// Without it, Close aborts them at once.
func WithDrainTimeout(d time.Duration) ServerOption {
	return func(s *Server) { s.drainTimeout = d }
}

// WithServerIdleTimeout sets the time without a packet from a peer after which its
// connection is closed.
func WithServerIdleTimeout(d time.Duration) ServerOption {
	return func(s *Server) { s.http.QUICConfig.MaxIdleTimeout = d }
}

// maxIncomingStreams is the maximum number of concurrent requests per connection.
const maxIncomingStreams = 10_000

// NewServer returns a server that listens on the UDP address and serves the handler
// until Close.
func NewServer(address netip.AddrPort, id *Identity, handler http.Handler, opts ...ServerOption) (*Server, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Server{
		conn:    conn,
		stopped: make(chan error, 1),
		http: &http3.Server{
			Handler:   handler,
			TLSConfig: http3.ConfigureTLSConfig(id.ServerConfig()),
			QUICConfig: &quic.Config{
				MaxIdleTimeout:     defaultIdleTimeout,
				MaxIncomingStreams: maxIncomingStreams,
			},
		},
	}
	for _, opt := range opts {
		opt(s)
	}
	go func() { s.stopped <- s.http.Serve(conn) }()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	udp, ok := s.conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return udp.AddrPort()
}

// Close refuses new requests, aborts those that still run after the drain timeout, waits for
// their handlers, and closes the socket.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.drainTimeout)
	defer cancel()
	// The Close below aborts the requests still running after the drain timeout.
	_ = s.http.Shutdown(ctx)
	err := s.http.Close()
	if serveErr := <-s.stopped; err == nil && !errors.Is(serveErr, http.ErrServerClosed) {
		err = serveErr
	}
	if closeErr := s.conn.Close(); err == nil {
		err = closeErr
	}
	return errors.WithStack(err)
}
