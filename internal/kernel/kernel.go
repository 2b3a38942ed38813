// Package kernel registers the named services of an instance and runs them as a group.
package kernel

import (
	"context"
	"sync"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
)

// Service is a part of an instance that the kernel runs.
type Service interface {
	// Name returns the name under which other services look up this one.
	Name() string
	// Run runs the service until ctx ends. It returns after everything that it started has ended.
	Run(ctx context.Context) error
}

// Kernel is a registry of services. Register must be called before Run; Lookup may be called at any time.
type Kernel struct {
	mu       sync.RWMutex
	services map[string]Service
	order    []Service
	cancel   context.CancelFunc
	done     chan struct{}
}

// New returns a Kernel without services.
func New() *Kernel {
	return &Kernel{services: make(map[string]Service)}
}

// Register adds services in the order in which Run starts them.
func (k *Kernel) Register(services ...Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range services {
		if _, ok := k.services[s.Name()]; ok {
			return eris.Errorf("registering service %q: the name is taken", s.Name())
		}
		k.services[s.Name()] = s
		k.order = append(k.order, s)
	}
	return nil
}

// Lookup returns a service by name, as type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.RLock()
	s, ok := k.services[name]
	k.mu.RUnlock()
	if !ok {
		return zero, eris.Errorf("looking up service %q: not registered", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, eris.Errorf("looking up service %q: it is a %T", name, s)
	}
	return t, nil
}

// Run runs every service until ctx ends or one of them returns, then stops the others.
func (k *Kernel) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	k.mu.Lock()
	k.cancel = cancel
	k.done = done
	order := append([]Service(nil), k.order...)
	k.mu.Unlock()

	var g run.Group
	g.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	for _, s := range order {
		addActor(ctx, &g, s)
	}
	return g.Run()
}

func addActor(ctx context.Context, g *run.Group, s Service) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		err := s.Run(ctx)
		if err != nil && ctx.Err() == nil {
			return eris.Wrapf(err, "running %s", s.Name())
		}
		return nil
	}, func(error) { cancel() })
}

// Close stops a running kernel and waits until all services have ended.
func (k *Kernel) Close() error {
	k.mu.RLock()
	cancel, done := k.cancel, k.done
	k.mu.RUnlock()
	if cancel == nil {
		return nil
	}
	cancel()
	<-done
	return nil
}
