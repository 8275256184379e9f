package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Timeouts of the HTTP server.
const (
	headerTimeout = 5 * time.Second
	closeTimeout  = 2 * time.Second
)

// anyLoopbackPort is a loopback address for which the system chooses a free port.
var anyLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")

// serve runs an HTTP server until the context ends.
func serve(ctx context.Context, log hclog.Logger, address netip.AddrPort, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
	if err != nil {
		return errors.WithStack(err)
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		Protocols:         protocols,
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
	}
	log.Info("listening", "address", listener.Addr())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	return shutDown(server)
}

// shutDown waits up to closeTimeout for open requests and then closes their
// connections.
func shutDown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return errors.WithStack(server.Close())
	}
	return errors.WithStack(err)
}
