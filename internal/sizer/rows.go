package main

// Roles, in the order in which the page lists them.
const (
	roleEntry           = "Entry: every instance"
	roleTraffic         = "Entry: the traffic half"
	roleDatacentreRelay = "Relay of a data centre"
	roleRegionRelay     = "Relay of a region"
	roleOwner           = "Owner of credits"
	rolePlanner         = "Planner"
	roleOperator        = "Operators' address"
	roleTable           = "Platform: table"
	roleList            = "Platform: list, objects and weight store"
)

var roles = []string{
	roleEntry, roleTraffic, roleDatacentreRelay, roleRegionRelay, roleOwner, rolePlanner, roleOperator, roleTable, roleList,
}

// Design size of a deployment.
const (
	instanceCount     = 390.0
	replicaCount      = 2100.0
	acceleratorCount  = 8500.0
	requestsPerSecond = 10_000.0
	tokensPerSecond   = 3_100_000.0
	workspaceCount    = 1400.0
	changesPerDay     = 1500.0
	restartsPerDay    = 760.0
	failuresPerDay    = 13.0
	secondsPerDay     = 86_400.0
	listEntryCount    = instanceCount + replicaCount
)

// Unit conversions.
const (
	// nsToCorePercent converts nanoseconds of CPU time a second to percent of a core.
	nsToCorePercent = 100.0 / 1e9
	nsToMS          = 1 / 1e6
	bytesToMB       = 1 / 1e6
)

// listChangesPerSecond is the number of changes of the instance list in a second. Each
// failure and each restart removes an entry and adds one.
const listChangesPerSecond = 2 * (restartsPerDay + failuresPerDay) / secondsPerDay

// Benchmarks and tests that the rows are computed from.
var (
	publishBenchmark   = source{"./internal/server/watcher", "BenchmarkPublish", "50x"}
	listBenchmark      = source{"./internal/server/storer", "BenchmarkList", "20x"}
	contractsBenchmark = source{"./internal/server/configurer", "BenchmarkManyContracts$", "5x"}
	amendmentBenchmark = source{"./internal/server/configurer", "BenchmarkOneAmendment", "50x"}
	stepBenchmark      = source{"./internal/server/controller", "BenchmarkStep", "20000x"}
	planBenchmark      = source{"./internal/server/planner", "BenchmarkPlan", "20x"}
	trafficTest        = source{"./internal/server/peerer", "TestTraffic(AtDesignSize)?", ""}
	sparseRequestsTest = source{"./internal/server/limiter", "TestSparseRequestsExchangeFewFrames", ""}
	pickBenchmark      = source{"./internal/server/picker", "BenchmarkPick", "20000x"}
	queueBenchmark     = source{"./internal/server/admitter", "BenchmarkQueue", "20000x"}
	relayBenchmark     = source{"./internal/server/assembler", "BenchmarkRelay", "20x"}
	digestBenchmark    = source{"./internal/server/peerer/encoder", "BenchmarkDigest", "2000x"}
	eventsBenchmark    = source{"./internal/server/listener", "BenchmarkEvents", "20x"}
)

// publishesPerSecond is the number of views of all replicas that an instance publishes in
// a second: between two views the watcher waits 150 us for each replica.
const publishesPerSecond = 1e6 / (150 * replicaCount)

// framesPerSecond is the number of frames that an instance sends to its peers in a second;
// it receives as many.
const framesPerSecond = 19

// listCode is the function that reads the instance list, for the column of code.
const listCode = "storer.List"

func rows() []row {
	var all []row
	all = append(all, entryRows()...)
	all = append(all, trafficRows()...)
	all = append(all, relayRows()...)
	all = append(all, plannerRows()...)
	return append(all, platformRows()...)
}

func entryRows() []row {
	return []row{
		{role: roleEntry, resource: resourceCPU, description: "views of all replicas", mechanism: "one immutable view for all changes of a third of a second", code: "watcher.publish", source: publishBenchmark, namePattern: "Publish", metric: "ns/op", size: replicaCount, unit: "replicas", multiplier: publishesPerSecond, unitFactor: nsToCorePercent},
		{role: roleEntry, resource: resourceCPU, description: "digests written and read", mechanism: "protobuf; 19 frames a second out and as many in", code: "peerer/encoder", source: digestBenchmark, namePattern: "Digest", metric: "ns/op", size: 6, unit: "upstreams", multiplier: framesPerSecond, unitFactor: nsToCorePercent},
		{role: roleEntry, resource: resourceMessages, description: "frames sent", mechanism: "one digest a second to each link", code: "peerer.sendDigests", source: trafficTest, namePattern: `/(20|40|60|390)$`, metric: "frames/s", size: instanceCount, unit: "instances", multiplier: 1, unitFactor: 1, derivation: "390 instances"},
		{role: roleEntry, resource: resourceCPU, description: "events of control", mechanism: "one goroutine", code: "controller.loop", source: stepBenchmark, namePattern: "Step", metric: "ns/op", unit: "events", multiplier: 100, unitFactor: nsToCorePercent, derivation: "100 events a second"},
		{role: roleEntry, resource: resourceCPU, description: "list unchanged", mechanism: "conditional reads", code: listCode, source: listBenchmark, namePattern: "same", metric: "ns/op", size: listEntryCount, unit: "entries", multiplier: 2, unitFactor: nsToCorePercent},
		{role: roleEntry, resource: resourceCPU, description: "list changed", mechanism: "compressed, read whole", code: listCode, source: listBenchmark, namePattern: "changed", metric: "ns/op", size: listEntryCount, unit: "entries", multiplier: listChangesPerSecond, unitFactor: nsToCorePercent},
		{role: roleEntry, resource: resourceCPU, description: "an amendment put in force", mechanism: "reads only what changed", code: "configurer.Follower", source: amendmentBenchmark, namePattern: "Amendment", metric: "ns/op", size: workspaceCount, unit: "contracts", multiplier: changesPerDay / secondsPerDay, unitFactor: nsToCorePercent},
		{role: roleEntry, resource: resourceMemory, description: "contracts in force", mechanism: "parsed once, shared by snapshots", code: "configurer.Follower", source: contractsBenchmark, namePattern: "Contracts", metric: "MB-held", unit: "contracts", multiplier: 1, unitFactor: 1, derivation: "1,400 contracts"},
		{role: roleEntry, resource: resourceMemory, description: "views of replicas", mechanism: "the old and the new one", code: "watcher.publish", source: publishBenchmark, namePattern: "Publish", metric: "B/op", size: replicaCount, unit: "replicas", multiplier: 2, unitFactor: bytesToMB, derivation: "2,100 replicas, twice"},
		{role: roleEntry, resource: resourceMemory, description: "index of cached blocks", mechanism: "fixed table of digests", code: "indexer", designValue: 32, derivation: "bound of the table, tested"},
		{role: roleEntry, resource: resourceTraffic, description: "list unchanged", mechanism: "entity tags", code: listCode, source: listBenchmark, namePattern: "same", metric: "wire-B/op", size: listEntryCount, unit: "entries", multiplier: 2, unitFactor: 1},
		{role: roleEntry, resource: resourceTraffic, description: "list changed", mechanism: "compressed", code: listCode, source: listBenchmark, namePattern: "changed", metric: "wire-B/op", size: listEntryCount, unit: "entries", multiplier: listChangesPerSecond, unitFactor: 1},
		{role: roleEntry, resource: resourceTraffic, description: "links, in the mean", mechanism: "mesh in the data centre, digests", code: "peerer", source: trafficTest, namePattern: `/(20|40|60|390)$`, metric: "B/s", size: instanceCount, unit: "instances", multiplier: 1, unitFactor: 1, derivation: "390 instances"},
		{role: roleEntry, resource: resourceTraffic, description: "cache events, headers alone", mechanism: "16 engines of the own data centre each 250 ms", code: "indexer.EventPoller", designValue: 64 * 75, derivation: "64 reads a second of at least 75 B, an empty answer's size; events come on top"},
		{role: roleEntry, resource: resourceTraffic, description: "credits, all requests far apart", mechanism: "one owner a limit, asks on demand", code: "limiter", source: sparseRequestsTest, namePattern: "Sparse", metric: "B/request", unit: "requests", multiplier: requestsPerSecond / instanceCount, unitFactor: 1, derivation: "25.6 requests a second, none sharing an ask"},
	}
}

func trafficRows() []row {
	return []row{
		{role: roleTraffic, resource: resourceCPU, description: "picks", mechanism: "two choices and a prefix holder", code: "picker.Pick", source: pickBenchmark, namePattern: "Pick", metric: "ns/op", size: replicaCount, unit: "replicas", multiplier: 6 * requestsPerSecond / instanceCount, unitFactor: nsToCorePercent, derivation: "2,100 replicas, six stages of 25.6 requests a second"},
		{role: roleTraffic, resource: resourceCPU, description: "admission", mechanism: "priority, share, deadline", code: "admitter", source: queueBenchmark, namePattern: "workspaces=1400", metric: "ns/op", unit: "waiting", multiplier: 6 * requestsPerSecond / instanceCount, unitFactor: nsToCorePercent, derivation: "1,400 workspaces, six turns of 25.6 requests a second"},
		{role: roleTraffic, resource: resourceCPU, description: "tokens read", mechanism: "parse and check each line", code: "caller.Generate", source: relayBenchmark, namePattern: "Relay", metric: "ns/token", unit: "tokens", multiplier: tokensPerSecond / instanceCount, unitFactor: nsToCorePercent, derivation: "7,949 tokens a second"},
		{role: roleTraffic, resource: resourceCPU, description: "tokens sent", mechanism: "one event each, flushed; a caller that reads is in it", code: "listener.serveStream", source: eventsBenchmark, namePattern: "Events", metric: "ns/token", unit: "tokens", multiplier: tokensPerSecond / instanceCount, unitFactor: nsToCorePercent, derivation: "7,949 tokens a second"},
	}
}

// relayRows returns the rows of relays and of owners of credits. They are in addition to
// the rows of an entry.
func relayRows() []row {
	busiestLinks := row{resource: resourceTraffic, description: "links of the busiest instance", mechanism: "relay by rendezvous hash", code: "peerer.topology", source: trafficTest, namePattern: `/(20|40|60|390)$`, metric: "B/s-most", size: instanceCount, unit: "instances", multiplier: 1, unitFactor: 1, derivation: "390 instances; the busiest of all is a relay"}
	dcLinks, regionLinks := busiestLinks, busiestLinks
	dcLinks.role, regionLinks.role = roleDatacentreRelay, roleRegionRelay
	digests := row{resource: resourceCPU, description: "digests written and read", mechanism: "an entry's frames, and those of other data centres or regions", code: "peerer/encoder", source: digestBenchmark, namePattern: "Digest", metric: "ns/op", size: 105, unit: "upstreams", unitFactor: nsToCorePercent}
	dcDigests, regionDigests := digests, digests
	dcDigests.role, dcDigests.multiplier = roleDatacentreRelay, framesPerSecond+2
	regionDigests.role, regionDigests.multiplier = roleRegionRelay, framesPerSecond+9
	summaries := row{resource: resourceMemory, description: "summaries of the other data centres", mechanism: "names of silent instances only", code: "peerer.summaries", designValue: 0.01, derivation: "20 summaries, half a kilobyte each with the names of twenty silent instances"}
	dcSummaries, regionSummaries := summaries, summaries
	dcSummaries.role, regionSummaries.role = roleDatacentreRelay, roleRegionRelay
	return []row{
		dcLinks, regionLinks, dcDigests, regionDigests, dcSummaries, regionSummaries,
		{role: roleOwner, resource: resourceMemory, description: "accounts of the limits owned", mechanism: "in memory, spread by hash", code: "limiter.ledger", designValue: 4 * workspaceCount / instanceCount * 0.001, derivation: "four limits of 1,400 workspaces over 390, 1 kB each at the most"},
		{role: roleOwner, resource: resourceTraffic, description: "credits of the limits owned", mechanism: "owners spread by hash: as many as any instance asks for", code: "limiter.ledger", source: sparseRequestsTest, namePattern: "Sparse", metric: "B/request", unit: "requests", multiplier: requestsPerSecond / instanceCount, unitFactor: 1, derivation: "25.6 requests a second of others, none sharing an ask"},
	}
}

func plannerRows() []row {
	return []row{
		{role: rolePlanner, resource: resourceCPU, description: "plans", mechanism: "one holder of a lease", code: "planner.Plan", source: planBenchmark, namePattern: "Plan", metric: "ns/op", size: replicaCount, unit: "engines", multiplier: 1, unitFactor: nsToCorePercent},
		{role: rolePlanner, resource: resourceMemory, description: "one plan", mechanism: "freed after each", code: "planner.Plan", source: planBenchmark, namePattern: "Plan", metric: "B/op", size: replicaCount, unit: "engines", multiplier: 1, unitFactor: bytesToMB, derivation: "2,100 engines"},
		{role: rolePlanner, resource: resourceDuration, description: "one plan over all accelerators", mechanism: "sorted once a model", code: "planner.Plan", source: planBenchmark, namePattern: "Plan", metric: "ns/op", size: acceleratorCount, unit: "engines", multiplier: 1, unitFactor: nsToMS, derivation: "8,500 engines"},
		{role: roleOperator, resource: resourceWrites, description: "changes", mechanism: "one transaction each, at whichever instance is asked", code: "configurer.Apply", designValue: changesPerDay / secondsPerDay, derivation: "1,500 a day"},
	}
}

func platformRows() []row {
	return []row{
		{role: roleTable, resource: resourceReads, description: "looks at the head", mechanism: "a shared number of reads", code: "configurer.Follower", designValue: 250, derivation: "250 of all instances together"},
		{role: roleTable, resource: resourceReads, description: "looks at the planner's lease", mechanism: "a shared number of reads", code: "leaser.WithWatchInterval", designValue: 100, derivation: "100 of all together"},
		{role: roleTable, resource: resourceReads, description: "lists of retired models", mechanism: "one scan, a shared number", code: "planner.refreshLists", designValue: 100, derivation: "100 of all together"},
		{role: roleTable, resource: resourceReads, description: "sweep of orders", mechanism: "pages, a shared number", code: "orderer.sweepPage", designValue: 50, derivation: "50 of all together"},
		{role: roleTable, resource: resourceReads, description: "changes read by all", mechanism: "records after the own version", code: "configurer.Follower", designValue: instanceCount * changesPerDay / secondsPerDay, derivation: "390 x 1,500 a day, though peers hand most on"},
		{role: roleTable, resource: resourceWrites, description: "changes", mechanism: "one transaction each", code: "configurer.Apply", designValue: changesPerDay / secondsPerDay, derivation: "1,500 a day"},
		{role: roleTable, resource: resourceWrites, description: "renewals of the planner's lease", mechanism: "one each 1.5 s", code: "leaser", designValue: 1 / 1.5, derivation: "one holder"},
		{role: roleTable, resource: resourceWrites, description: "budgets", mechanism: "reserved by hundredths", code: "limiter.budget", designValue: 100 * 3 * workspaceCount / secondsPerDay, derivation: "100 a day for each of three kinds of 1,400 workspaces"},
		{role: roleTable, resource: resourceWrites, description: "turns at the weight store", mechanism: "one row for each rate", code: "pacer", designValue: 1, derivation: "at most one a second in the mean"},
		{role: roleList, resource: resourceReads, description: "readings of the list", mechanism: "conditional reads", code: listCode, designValue: 2 * instanceCount, derivation: "two a second by each of 390"},
	}
}
