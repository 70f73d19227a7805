// Package demonstrator demonstrates the whole system on loopback: for each example
// deployment it starts stand-ins and three instances, sends the example's texts and
// checks every statement that it prints.
package demonstrator

import (
	"context"
	"io"
	"time"

	"oriolemill.example/oriolemill/examples"
	"oriolemill.example/oriolemill/internal/standin"
)

// Names of the steps, in order.
const (
	StepStart  = "start"
	StepApply  = "apply"
	StepAnswer = "answer"
	StepCrowd  = "crowd"
	StepStream = "stream"
	StepOrder  = "order"
	StepAmend  = "amend"
	StepDrain  = "drain"
)

// stepTimeout bounds one step.
const stepTimeout = 12 * time.Second

// Failure is the error of a step of a deployment's demonstration.
type Failure struct {
	deployment string
	step       string
	cause      error
}

// Error returns "deployment: step NAME: cause".
func (f *Failure) Error() string {
	return f.deployment + ": step " + f.step + ": " + f.cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Step returns the name of the step.
func (f *Failure) Step() string { return f.step }

// Demonstrator runs the demonstration.
type Demonstrator struct {
	out        io.Writer
	beforeStep func(step string, environment *standin.Environment)
}

// Option sets a property of a Demonstrator.
type Option func(*Demonstrator)

// WithBeforeStep sets a function that is called before each step except the first,
// when the stand-ins do not run yet. It can set faults at the stand-ins.
func WithBeforeStep(hook func(step string, environment *standin.Environment)) Option {
	return func(d *Demonstrator) { d.beforeStep = hook }
}

// New returns a Demonstrator that writes its transcript to out.
func New(out io.Writer, options ...Option) *Demonstrator {
	d := &Demonstrator{out: out, beforeStep: func(string, *standin.Environment) {}}
	for _, option := range options {
		option(d)
	}
	return d
}

// step is one part of an example's demonstration.
type step struct {
	name string
	run  func(s *demo, ctx context.Context) error
}

// steps returns all steps in order.
func steps() []step {
	return []step{
		{StepStart, (*demo).start},
		{StepApply, (*demo).apply},
		{StepAnswer, (*demo).answer},
		{StepCrowd, (*demo).crowd},
		{StepStream, (*demo).stream},
		{StepOrder, (*demo).order},
		{StepAmend, (*demo).amend},
		{StepDrain, (*demo).drain},
	}
}

// Run demonstrates the named examples one after another. The error is a *Failure when
// a step failed.
func (d *Demonstrator) Run(ctx context.Context, names ...string) error {
	for _, name := range names {
		example, err := examples.Load(name)
		if err != nil {
			return err
		}
		if err := d.runExample(ctx, example); err != nil {
			return err
		}
	}
	return nil
}

// runExample runs all steps for one example.
func (d *Demonstrator) runExample(ctx context.Context, example *examples.Example) error {
	s, err := newDemo(example, &transcript{out: d.out})
	if err != nil {
		return &Failure{deployment: example.Name(), step: StepStart, cause: err}
	}
	defer s.close()
	for _, step := range steps() {
		if s.environment != nil {
			d.beforeStep(step.name, s.environment)
		}
		if err := s.runStep(ctx, step); err != nil {
			return &Failure{deployment: example.Name(), step: step.name, cause: err}
		}
	}
	return nil
}

// runStep runs one step within stepTimeout.
func (s *demo) runStep(ctx context.Context, step step) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	s.transcript.step = step.name
	return step.run(s, ctx)
}
