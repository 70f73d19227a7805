package relayer

import "oriolemill.example/oriolemill/internal/server"

// noRegionReason is the reason of refusals for lack of a replica in the allowed regions.
const noRegionReason = "no replica is left in the allowed regions"

// allowedReplicas returns the replicas of a service in the regions that the request may reach. Connections to them are
// passed on by instances in these regions, or in that of this instance, only.
func (f *relayedRequest) allowedReplicas(service string) []server.Replica {
	replicas := f.view.Replicas(service)
	if len(f.regions) == 0 {
		return replicas
	}
	var allowed []server.Replica
	for n := range replicas {
		if replica := replicas[n]; replica.IsAllowed(f.regions) {
			replica.HelperRegions = f.regions
			allowed = append(allowed, replica)
		}
	}
	return allowed
}

// hasAllowedReplicas reports whether the service of the request, and those of its stages, have replicas in the allowed
// regions.
func (f *relayedRequest) hasAllowedReplicas() bool {
	if len(f.regions) == 0 {
		return true
	}
	for n, stage := range f.route.Stages {
		if n < len(f.info.Pieces) && f.info.Pieces[n] > 0 && len(f.allowedReplicas(stage.Service)) == 0 {
			return false
		}
	}
	return len(f.allowedReplicas(f.service)) > 0
}
