package cmd

import (
	"bytes"
	"context"
	stdlog "log"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
)

// closer is a running server.
type closer interface {
	Close() error
}

// listener runs a server as a service of the kernel, so that it starts after the services
// behind it and is closed before them.
type listener struct {
	name        string
	listen      func() (closer, error)
	beforeClose func()
	server      closer
}

// Name implements kernel.Service.
func (l *listener) Name() string { return l.name }

// Start implements kernel.Service.
func (l *listener) Start(context.Context, *kernel.Kernel) error {
	server, err := l.listen()
	if err != nil {
		return err
	}
	l.server = server
	return nil
}

// Close implements kernel.Service.
func (l *listener) Close() error {
	if l.beforeClose != nil {
		l.beforeClose()
	}
	return l.server.Close()
}

// serverErrorLog returns a logger whose messages become events of the process's log.
func serverErrorLog(logger hclog.Logger) *stdlog.Logger {
	return stdlog.New(errorEvents{logger.Named("web")}, "", 0)
}

// errorEvents logs each message as an event of one line.
type errorEvents struct{ log hclog.Logger }

// Write implements io.Writer.
func (e errorEvents) Write(message []byte) (int, error) {
	e.log.Warn("HTTP server error", "error", string(bytes.Join(bytes.Fields(message), []byte(" "))))
	return len(message), nil
}
