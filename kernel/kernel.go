// Package kernel manages the services of a process: it starts them in the order in
// which they were added, provides lookup by name, and closes them in reverse order.
package kernel

import (
	"context"
	"fmt"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Service is a component of a process with a managed life cycle.
type Service interface {
	// Name returns the unique name by which other services find this one.
	Name() string
	// Start starts the service and returns when it can be used. The context ends
	// when the kernel has closed all services, or with the context of Kernel.Start.
	Start(ctx context.Context, k *Kernel) error
	// Close stops the service and waits until it has stopped.
	Close() error
}

// NotFoundError is returned if there is no service with the name, or if it does not
// implement the type.
type NotFoundError struct {
	Name string
	// Want is the name of the type.
	Want string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no service %q of type %s", e.Name, e.Want)
}

// Kernel manages the services of one process.
type Kernel struct {
	log      hclog.Logger
	services []Service
	byName   map[string]Service
	started  int
	cancel   context.CancelFunc
}

// New returns a kernel without services.
func New(log hclog.Logger) *Kernel {
	return &Kernel{log: log, byName: map[string]Service{}}
}

// Add adds services in the order in which Start starts them.
func (k *Kernel) Add(services ...Service) error {
	for _, s := range services {
		if _, exists := k.byName[s.Name()]; exists {
			return errors.Errorf("service %q added twice", s.Name())
		}
		k.byName[s.Name()] = s
		k.services = append(k.services, s)
	}
	return nil
}

// Find returns the service with the name, or nil.
func (k *Kernel) Find(name string) Service {
	return k.byName[name]
}

// Log returns the process's logger.
func (k *Kernel) Log() hclog.Logger {
	return k.log
}

// Start starts the services in the order in which they were added. If one fails, it
// closes those already started.
func (k *Kernel) Start(ctx context.Context) error {
	ctx, k.cancel = context.WithCancel(ctx)
	for _, s := range k.services {
		if err := s.Start(ctx, k); err != nil {
			startErr := errors.WithMessagef(err, "start %s", s.Name())
			if closeErr := k.Close(); closeErr != nil {
				k.log.Error("close after failed start", "error", closeErr)
			}
			return startErr
		}
		k.started++
		k.log.Debug("service started", "service", s.Name())
	}
	return nil
}

// Close closes the started services in reverse order and waits for each. All services
// are closed even if one fails; Close returns the first error.
func (k *Kernel) Close() error {
	var first error
	for ; k.started > 0; k.started-- {
		s := k.services[k.started-1]
		if err := s.Close(); err != nil && first == nil {
			first = errors.WithMessagef(err, "close %s", s.Name())
		}
		k.log.Debug("service closed", "service", s.Name())
	}
	if k.cancel != nil {
		k.cancel()
	}
	return first
}
