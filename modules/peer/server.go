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
	http    *http3.Server
	conn    net.PacketConn
	drain   time.Duration
	stopped chan error
}

// ServerOption changes a new Server.
type ServerOption func(*Server)

// WithDrainTimeout sets how long Close waits for requests to end.
func WithDrainTimeout(d time.Duration) ServerOption {
	return func(s *Server) { s.drain = d }
}

// WithServerIdleTimeout sets how long a peer may be silent before its connection
// counts as lost.
func WithServerIdleTimeout(d time.Duration) ServerOption {
	return func(s *Server) { s.http.QUICConfig.MaxIdleTimeout = d }
}

// maxStreams is how many requests one peer may have open at once.
const maxStreams = 10_000

// NewServer listens at the UDP address and serves the handler until Close.
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
				MaxIdleTimeout:     defaultIdle,
				MaxIncomingStreams: maxStreams,
			},
		},
	}
	for _, opt := range opts {
		opt(s)
	}
	go func() { s.stopped <- s.http.Serve(conn) }()
	return s, nil
}

// Address returns the address that the server listens at.
func (s *Server) Address() netip.AddrPort {
	udp, ok := s.conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return udp.AddrPort()
}

// Close takes no new requests, waits for those that run, up to the drain time,
// and releases the address.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.drain)
	defer cancel()
	// Requests past the drain time are cut by the Close below.
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
