package demonstrator_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/examples"
	"oriolemill.example/oriolemill/internal/demonstrator"
	"oriolemill.example/oriolemill/internal/standin"
)

func TestRunPassesAllSteps(t *testing.T) {
	for _, name := range examples.Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.NoErr(demonstrator.New(&out).Run(context.Background(), name))
			for _, step := range []string{"apply", "answer", "crowd", "stream", "order", "amend", "drain"} {
				is.True(strings.Contains(out.String(), "\n  "+step+" ")) // each step prints at least one line
			}
		})
	}
}

// faultBefore returns a hook that sets a fault at a service's replicas before a step.
func faultBefore(faultyStep, service string, f standin.Fault) func(string, *standin.Environment) {
	return func(step string, environment *standin.Environment) {
		if step != faultyStep {
			return
		}
		for _, id := range environment.Replicas(service) {
			environment.Upstream(id).Faults().Set(f)
		}
	}
}

func TestRunNamesTheStepThatFailed(t *testing.T) {
	cases := map[string]func(string, *standin.Environment){
		demonstrator.StepApply: func(step string, environment *standin.Environment) {
			if step == demonstrator.StepApply {
				environment.PlatformServer().Faults().Set(standin.Fault{Outage: true})
			}
		},
		demonstrator.StepAnswer: faultBefore(demonstrator.StepAnswer, "rerankers", standin.Fault{Outage: true}),
		demonstrator.StepCrowd:  faultBefore(demonstrator.StepCrowd, "retrievers", standin.Fault{ForeignAnswers: 1000}),
		demonstrator.StepStream: faultBefore(demonstrator.StepStream, "oriole-pool", standin.Fault{Outage: true}),
		demonstrator.StepOrder:  faultBefore(demonstrator.StepOrder, "mill-gateway", standin.Fault{Errors: 1000}),
		demonstrator.StepAmend: func(step string, environment *standin.Environment) {
			if step == demonstrator.StepAmend {
				environment.PlatformServer().Faults().Set(standin.Fault{Outage: true})
			}
		},
	}
	for step, hook := range cases {
		t.Run(step, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			err := demonstrator.New(&out, demonstrator.WithBeforeStep(hook)).Run(context.Background(), "lutvik")
			var failure *demonstrator.Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Step(), step)
			is.True(strings.HasPrefix(err.Error(), "lutvik: step "+step+": "))
		})
	}
}
