package gossiper_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
)

// manyRows returns rows with 250-byte values and consecutive versions from firstVersion.
func manyRows(count int, firstVersion uint64) []server.StoredRow {
	rows := make([]server.StoredRow, count)
	for i := range rows {
		rows[i] = server.StoredRow{Name: fmt.Sprintf("row-%03d", i), Value: make([]byte, 250), Version: firstVersion + uint64(i)}
	}
	return rows
}

// sentBytes returns the bytes that all instances sent or received in responses and sent in
// announcements.
func (f *fleet) sentBytes() (total int) {
	for _, m := range f.members {
		m.mu.Lock()
		total += m.sentBytes
		m.mu.Unlock()
	}
	return total
}

// TestManyChangesAtOnceDoNotTransferWholeTables guards against instances that fetch a whole
// table for each batch of changes, as when all instances of a large deployment start and
// register at once.
func TestManyChangesAtOnceDoNotTransferWholeTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const instances, tableRows, changedRows, rowBytes, announcementBytes = 81, 300, 40, 270, 100
		f := newFleet(instances)
		defer f.stop()
		for _, m := range f.members {
			m.Replace(plansTable, manyRows(tableRows, 2), 1000, time.Time{})
		}
		time.Sleep(5 * time.Second)
		before := f.sentBytes()
		for _, m := range f.members[:instances/2] {
			m.ApplyChanges(plansTable, manyRows(changedRows, 1001), 2000, time.Time{})
		}
		time.Sleep(maxPlanDelay)
		is.Equal(f.countAtVersion(2000), instances)
		// Both ends count the changes; an instance may fetch them twice.
		fetched := 2 * 2 * (instances - instances/2) * changedRows * rowBytes
		is.True(f.sentBytes()-before <= fetched+instances*instances*announcementBytes)
	})
}

// TestChangesIncludeDeletions guards against deleted rows that stay at instances which fetch
// only changes, from an instance that has read the table after the deletion.
func TestChangesIncludeDeletions(t *testing.T) {
	for _, c := range []struct {
		name      string
		hasLoaded bool // whether the first instance had read the table before the deletion
	}{{"deletion seen", true}, {"table read after the deletion", false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(2)
				defer f.stop()
				informed, lagging := f.members[0], f.members[1]
				lagging.mu.Lock()
				lagging.cut = true
				lagging.mu.Unlock()
				lagging.Replace("replicas", manyRows(3, 2), 10, time.Time{})
				if c.hasLoaded {
					informed.Replace("replicas", manyRows(3, 2), 10, time.Time{})
				}
				informed.Replace("replicas", manyRows(2, 2), 20, time.Time{})
				time.Sleep(time.Second)
				lagging.mu.Lock()
				lagging.cut = false
				lagging.mu.Unlock()
				informed.ApplyChanges("replicas", manyRows(1, 30), 30, time.Time{})
				time.Sleep(maxPlanDelay)
				rows, version, _ := lagging.Rows("replicas")
				is.Equal(version, uint64(30))
				is.Equal(len(rows), 2)
			})
		})
	}
}
