package measurer

import (
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/standin"
)

// Loads of the scenarios. A load is an arrival rate as a fraction of
// capacityRequestRate.
const (
	calmLoad  = 0.45
	burstLoad = 2.0
	skewLoad  = 1.2
	// prefixLoad is above calmLoad, so that the engine that has cached a prefix is busy
	// at times.
	prefixLoad = 0.6

	burstDuration = 10 * time.Second

	// skewFraction is the fraction of the requests that the largest workspace sends in
	// the skew scenario, beside its share of the others.
	skewFraction = 0.5
)

// scenario is a load and the faults that occur under it.
type scenario struct {
	name string
	// hasBurst reports whether the load rises to burstLoad in the middle of the run.
	hasBurst bool
	// isSkewed reports whether workspace 0 sends about half of the requests.
	isSkewed bool
	// load is the load outside of a burst.
	load float64
	// lostEngineFraction is the fraction of the engines that is unavailable from a third
	// of the run on.
	lostEngineFraction float64
	// contractRate is the rate limit in the contract of workspace 0, in requests a
	// second; zero sets no limit.
	contractRate float64
	// injectFaults is called after a third of the run, and clearFaults after two thirds.
	injectFaults func(environment *standin.Environment)
	clearFaults  func(environment *standin.Environment)
}

// Scenarios returns the names of all scenarios in order.
func Scenarios() []string {
	return []string{"calm", "burst", "slow", "crash", "drain", "store", "lag", "skew", "prefix", "mixed"}
}

func newScenario(name string) (*scenario, error) {
	s := &scenario{name: name, load: calmLoad, injectFaults: func(*standin.Environment) {}, clearFaults: func(*standin.Environment) {}}
	switch name {
	case "calm":
	case "burst":
		s.hasBurst = true
	case "slow":
		s.injectFaults, s.clearFaults = newFaultSetter("engines-1", standin.Fault{SlowFactor: 10}), newFaultSetter("engines-1", standin.Fault{})
	case "crash":
		s.injectFaults, s.lostEngineFraction = crashReplicas, 1.0/engineReplicas
	case "drain":
		s.injectFaults, s.lostEngineFraction = announceLeaving, 1.0/engineReplicas
	case "store":
		s.injectFaults = func(environment *standin.Environment) {
			environment.PlatformServer().Faults().Set(standin.Fault{Outage: true})
		}
		s.clearFaults = func(environment *standin.Environment) { environment.PlatformServer().Faults().Set(standin.Fault{}) }
	case "lag":
		s.injectFaults = delayReports
	case "skew":
		s.isSkewed, s.load, s.contractRate = true, skewLoad, skewContractRate
	case "prefix":
		s.load = prefixLoad
	case "mixed":
		s.hasBurst, s.lostEngineFraction = true, 1.0/engineReplicas
		s.injectFaults = func(environment *standin.Environment) {
			delayReports(environment)
			crashReplicas(environment)
			newFaultSetter("retrievers-1", standin.Fault{SlowFactor: 10})(environment)
		}
	default:
		return nil, merry.Prependf(server.ErrInvalid, "unknown scenario %q", name)
	}
	return s, nil
}

// skewContractRate is the rate limit of workspace 0 in the skew scenario, in requests a
// second.
const skewContractRate = 15

// arrivalRate returns the arrivals a second at an offset from the start of a run of
// the given duration.
func (s *scenario) arrivalRate(offset, runDuration time.Duration) float64 {
	begin := (runDuration - burstDuration) / 2
	if s.hasBurst && offset >= begin && offset < begin+burstDuration {
		return capacityRequestRate() * burstLoad
	}
	return capacityRequestRate() * s.load
}

// newFaultSetter returns a function that sets the faults of one upstream.
func newFaultSetter(id string, fault standin.Fault) func(*standin.Environment) {
	return func(environment *standin.Environment) { environment.Upstream(id).Faults().Set(fault) }
}

// crashReplicas closes one engine and one retriever. The platform's list drops them a
// second later.
func crashReplicas(environment *standin.Environment) {
	for _, id := range []string{"engines-0", "retrievers-0"} {
		environment.Upstream(id).Close()
		time.AfterFunc(time.Second, func() { environment.InstanceList().Remove(id) })
	}
}

// announceLeaving makes one engine, one retriever and one encoder report that they are
// shutting down.
func announceLeaving(environment *standin.Environment) {
	for _, id := range []string{"engines-0", "retrievers-0", "encoders-0"} {
		environment.Upstream(id).Faults().Set(standin.Fault{Leaving: true})
	}
}

// delayReports makes the load reports of all pools and engines up to 2 s old, delays
// their cache events by 2 s and drops each fifth event.
func delayReports(environment *standin.Environment) {
	for _, service := range []string{"engines", "retrievers", "encoders", "rerankers"} {
		for _, id := range environment.Replicas(service) {
			environment.Upstream(id).Faults().Set(standin.Fault{LoadLagMillis: 2000, EventLagMillis: 2000, EventGap: 5})
		}
	}
}
