package assembler

import (
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/admitter"
	"oriolemill.example/oriolemill/internal/server/ejector"
	"oriolemill.example/oriolemill/internal/server/estimator"
	"oriolemill.example/oriolemill/internal/server/indexer"
	"oriolemill.example/oriolemill/internal/server/picker"
	"oriolemill.example/oriolemill/internal/server/retrier"
)

// policies decide which requests are admitted, which replica an attempt is sent to and
// whether it is retried; observer receives the outcomes.
type policies struct {
	picker   server.Picker
	admitter server.Admitter
	retrier  server.Retrier
	observer server.Observer
}

// newBaselinePolicies returns round robin with three immediate retries, and without
// admission control or hedges.
func (i *Instance) newBaselinePolicies() policies {
	return policies{picker: picker.NewRoundRobin(), admitter: admitter.NewUnlimited(), retrier: retrier.NewImmediate(), observer: i.meter}
}

// newPolicies creates the policies and connects them to the observations and events
// that they depend on.
func (i *Instance) newPolicies() (policies, error) {
	outliers, err := ejector.New(i.controller, i.watcher.PublishUpstreams)
	if err != nil {
		return policies{}, err
	}
	i.watcher.SetOutlierDetector(outliers)
	estimates := estimator.New()
	retries := retrier.New(estimates)
	index := indexer.New(indexer.DefaultBytes)
	i.eventPoller = indexer.NewEventPoller(i.controller, index, i.caller)
	return policies{
		picker:   picker.New(index, picker.WithPauses(i.pauser.UpstreamPausedFor)),
		admitter: admitter.New(i.timer, estimates),
		retrier:  retries,
		observer: observers{i.meter, estimates, retries, outliers},
	}, nil
}

// observers passes each observation to all its elements.
type observers []server.Observer

// Observe implements server.Observer.
func (o observers) Observe(observation server.Observation) {
	for _, observer := range o {
		observer.Observe(observation)
	}
}
