package prover

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/pkg/client"
)

// watchActiveVersions polls the active version of every instance. The returned
// function ends that and fails the test if a version has ever decreased.
func watchActiveVersions(t *testing.T, f *fleet) func(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var mu sync.Mutex
	var decreases []string
	var group sync.WaitGroup
	for _, p := range f.instances {
		group.Go(func() {
			var highest uint64
			for ctx.Err() == nil {
				version, ok := activeVersion(ctx, p)
				if ok && version < highest && version > 0 {
					mu.Lock()
					decreases = append(decreases, fmt.Sprintf("%s: %d after %d", p.id, version, highest))
					mu.Unlock()
				}
				highest = max(highest, version)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func(t *testing.T) {
		t.Helper()
		cancel()
		group.Wait()
		for _, decrease := range decreases {
			t.Errorf("version decreased at %s", decrease)
		}
	}
}

// activeVersion returns the version that is active on an instance, or false if the
// instance does not respond within a second.
func activeVersion(ctx context.Context, p *process) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	operatorClient := client.New("http://" + p.operatorAddress)
	defer operatorClient.Close()
	status, err := operatorClient.Status(ctx)
	if err != nil {
		return 0, false
	}
	return status.Version, true
}

// TestConcurrentAmendmentsFormOneChain guards against amendments that overwrite each
// other: operators amend one contract through all instances concurrently. Each accepted
// amendment must be one version, and the audit must have every version.
func TestConcurrentAmendmentsFormOneChain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "lutvik", 3)
	checkVersions := watchActiveVersions(t, f)
	var mu sync.Mutex
	accepted := 0
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			for round := range 4 {
				if f.amendContract(t, f.instances[i%len(f.instances)], i, round) {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	checkVersions(t)
	is.True(accepted > 0)
	operatorClient := client.New("http://" + f.instances[0].operatorAddress)
	defer operatorClient.Close()
	records, err := operatorClient.AuditRecords(t.Context(), 0, 500)
	is.NoErr(err)
	amendments := 0
	for i, record := range records {
		is.Equal(record.Version, uint64(i+1)) // no version is missing
		if strings.HasPrefix(record.Reason, "race ") {
			amendments++
		}
	}
	is.Equal(amendments, accepted)
}

// amendContract amends a contract on the version that the instance shows, and reports
// whether the change was accepted.
func (f *fleet) amendContract(t *testing.T, p *process, operator, round int) bool {
	t.Helper()
	operatorClient := client.New("http://" + p.operatorAddress)
	defer operatorClient.Close()
	document, err := operatorClient.Document(t.Context(), "contract/tallnas")
	if err != nil {
		return false
	}
	text := strings.Replace(f.contracts["tallnas"], "concurrency: 16", fmt.Sprintf("concurrency: %d", 17+operator*10+round), 1)
	outcome, err := operatorClient.ApplyChange(t.Context(), "contract/tallnas", client.DocumentChange{
		Base: document.Version, Text: text, Reason: fmt.Sprintf("race %d-%d", operator, round),
	})
	return err == nil && outcome.State == "accepted"
}
