// Package kernel is the micro-kernel that the processes are built on: it
// starts services in the order they were added, lets them find each other by
// name and closes them in reverse order.
package kernel

import (
	"context"
	"fmt"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Service is one duty of a process.
type Service interface {
	// Name is what other services find it by.
	Name() string
	// Start begins the service's work and returns once it can be used. The
	// context ends when the kernel closes.
	Start(ctx context.Context, k *Kernel) error
	// Close ends the service's work and waits until it has ended.
	Close() error
}

// NotFoundError says that no service of that name and type was added.
type NotFoundError struct {
	Name string
	Want string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no service %q of type %s", e.Name, e.Want)
}

// Kernel holds the services of one process.
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

// Add adds services in the order they are to be started.
func (k *Kernel) Add(services ...Service) error {
	for _, s := range services {
		if _, taken := k.byName[s.Name()]; taken {
			return errors.Errorf("service %q added twice", s.Name())
		}
		k.byName[s.Name()] = s
		k.services = append(k.services, s)
	}
	return nil
}

// Find returns the service of that name, or nil.
func (k *Kernel) Find(name string) Service {
	return k.byName[name]
}

// Log returns the process's logger.
func (k *Kernel) Log() hclog.Logger {
	return k.log
}

// Start starts the services in the order they were added. When one fails, those
// already started are closed.
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

// Close closes the started services in reverse order and waits for each. It
// returns the first error.
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
