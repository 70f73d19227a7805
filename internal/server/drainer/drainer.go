// Package drainer stops an instance gracefully. The instance serves new requests
// until the load balancer has noticed that it is leaving, and completes every
// request that it has accepted.
package drainer

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// Step is one step of the stop.
type Step struct {
	// Name identifies the step in errors.
	Name string
	// Run runs the step and returns when it is complete. ctx has a deadline only if
	// the stop as a whole has one.
	Run func(ctx context.Context) error
}

// Drainer stops an instance. It must be used only once.
type Drainer struct {
	timer         server.Timer
	linger        time.Duration
	drainHandlers []func()
	steps         []Step
}

// Option sets a property of a Drainer.
type Option func(*Drainer)

// WithDrainHandlers adds functions that Drain calls first, in order. They tell the
// readiness checks, the peers and the listener for callers that the instance is leaving.
func WithDrainHandlers(drainHandlers ...func()) Option {
	return func(d *Drainer) { d.drainHandlers = append(d.drainHandlers, drainHandlers...) }
}

// WithSteps adds steps that run in order after the linger time.
func WithSteps(steps ...Step) Option {
	return func(d *Drainer) { d.steps = append(d.steps, steps...) }
}

// New returns a Drainer. New requests are still served for the linger time, since
// the load balancer needs that long to notice that the instance is not ready.
func New(timer server.Timer, linger time.Duration, options ...Option) (*Drainer, error) {
	if linger < 0 {
		return nil, merry.New("linger: must not be negative")
	}
	d := &Drainer{timer: timer, linger: linger}
	for _, option := range options {
		option(d)
	}
	return d, nil
}

// Drain announces that the instance is leaving, waits for the linger time and runs
// every step, even after one that failed. It returns the errors of all steps.
func (d *Drainer) Drain(ctx context.Context) error {
	for _, notify := range d.drainHandlers {
		notify()
	}
	// If ctx ends during the wait, the steps notice and return its error.
	_ = server.Sleep(ctx, d.timer, d.linger)
	var errs error
	for _, step := range d.steps {
		if err := step.Run(ctx); err != nil {
			errs = errors.Join(errs, merry.Prepend(err, step.Name))
		}
	}
	return errs
}
