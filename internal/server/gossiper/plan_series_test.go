package gossiper_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// seriesPlans plans follow each other within seriesInterval each, as an operator writes a large change and two small ones.
	seriesPlans    = 3
	seriesInterval = 600 * time.Millisecond
	// maxShareAtStore is the part of the followers that may read the store themselves while leaders watch it for all: as many
	// as notice a failed leader late.
	maxShareAtStore = 0.1
)

// planText returns the text of a plan with a version and about planBytes of routes, whose names are random.
func planText(version uint64) []byte {
	var text strings.Builder
	header, _ := json.Marshal(struct{ Version uint64 }{version})
	text.Write(header)
	random := rand.New(rand.NewPCG(7, 7))
	name := func() string { return fmt.Sprintf("%08x", random.Uint32()) }
	for text.Len() < planBytes {
		fmt.Fprintf(&text, `{"Name":"r-%s","Host":"%s.example","Prefix":"/%s/","Kind":"streaming","TimeoutMs":%d,"GoalMs":920,"Priority":1,"Service":"huvo11a","MaxAttempts":1,`+
			`"Stages":[{"Service":"kafi81c","After":[],"Bytes":3000000}],"Public":false,"Sticky":true,"Resumable":false,"GapGoalMs":400},`,
			name(), name(), name(), 1000+random.IntN(9000))
	}
	return []byte(text.String())
}

// TestLargePlansDoNotFillTheLinksOfLeaders guards against leaders whose links are full of copies of a large plan: their
// announcements come late, so that followers turn to the store, ask other leaders for further copies, and have none in time.
func TestLargePlansDoNotFillTheLinksOfLeaders(t *testing.T) {
	for _, count := range []int{66, 295, 390} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runPlanSeries(t, count) })
		})
	}
}

// runPlanSeries writes plans and checks when all instances have the last one, and who has read it from the store.
func runPlanSeries(t *testing.T, count int) {
	f := newRestartFleet(count)
	defer f.close()
	f.store.takeCalls()
	acknowledgedAt := make(map[uint64]time.Time)
	for range seriesPlans {
		f.plan++
		f.store.write(plansTable, "newest", planText(f.plan), false)
		acknowledgedAt[f.plan] = time.Now()
		time.Sleep(seriesInterval)
	}
	time.Sleep(maxViewDelay)
	latest, late := time.Duration(0), 0
	for _, delay := range f.delays(f.plan, acknowledgedAt[f.plan]) {
		if latest = max(latest, delay); delay > maxViewDelay {
			late++
		}
	}
	atStore := f.store.takeCalls()["follower watches "+plansTable+", change"]
	t.Logf("latest view %v, %d reads of the plan by followers", latest, atStore)
	if limit := int(maxShareAtStore * float64(count)); atStore > limit {
		t.Errorf("followers read the plan %d times from the store, not %d times at most", atStore, limit)
	}
	if late > 0 {
		t.Errorf("%d of %d instances did not have the last plan within %v", late, count, maxViewDelay)
	}
}
