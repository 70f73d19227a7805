package assembler

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/leaser"
	"oriolemill.example/oriolemill/internal/server/pacer"
	"oriolemill.example/oriolemill/internal/server/planner"
)

// weightStoreRate is the name of the rate limit for loads from the weight store,
// which all instances share.
const weightStoreRate = "weights"

// Limits of reads of the planner's lease.
const (
	// minLeaseReadInterval is the shortest interval between reads of one instance.
	minLeaseReadInterval = 500 * time.Millisecond
	// maxLeaseReadsPerSecond bounds the reads of all instances together.
	maxLeaseReadsPerSecond = 100
)

// buildPlanner creates the planner of commands for engines, and its lease. Every
// instance competes for the lease; each of its incarnations is a different holder.
func (i *Instance) buildPlanner() error {
	incarnation := i.id + "/" + server.NewID().String()
	readInterval := func() time.Duration {
		return server.SharedInterval(minLeaseReadInterval, i.Snapshot().InstanceCount(), maxLeaseReadsPerSecond)
	}
	lease, err := leaser.New(i.table, i.timer, planner.LeaseName, incarnation, leaser.WithWatchInterval(readInterval))
	if err != nil {
		return err
	}
	i.plannerLease = lease
	i.planner = planner.New(planner.Dependencies{
		Control:            i.controller,
		Table:              i.table,
		Lease:              lease,
		Commander:          i.caller,
		RateLimiter:        pacer.New(i.table, weightStoreRate, i.timer.Now),
		PublishRetirements: i.watcher.SetRetiringModels,
	})
	return nil
}
