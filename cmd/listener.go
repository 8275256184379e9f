package cmd

import (
	"context"

	"github.com/crocusline/crocusline/kernel"
)

// closer is a server that is listening.
type closer interface {
	Close() error
}

// listener makes a server a service of the kernel, so that it listens only
// after what it serves has started, and closes before that does.
type listener struct {
	name   string
	listen func() (closer, error)
	before func()
	server closer
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
	if l.before != nil {
		l.before()
	}
	return l.server.Close()
}
