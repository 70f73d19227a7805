package configurer_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oriolemill.example/oriolemill/internal/standin"
)

// Kinds of steps of a random scenario.
const (
	stepChange = iota
	stepTableDown
	stepTableUp
	stepLinkDown
	stepLinkUp
	stepPause
	stepReplace
	stepWait
	stepKinds
)

// step is one random step; a and b are indices of instances, wait is in
// milliseconds.
type step struct{ kind, a, b, wait int }

func drawSteps(t *rapid.T, size int) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.IntRange(0, stepKinds-1).Draw(t, "kind"),
			a:    rapid.IntRange(0, size-1).Draw(t, "a"),
			b:    rapid.IntRange(0, size-1).Draw(t, "b"),
			wait: rapid.IntRange(1, 2000).Draw(t, "wait ms"),
		}
	}), 1, 20).Draw(t, "steps")
}

// versionMonitor samples the versions of all instances and records a violation
// if one falls.
type versionMonitor struct {
	lastVersions map[*instance]uint64
	violation    string
}

func (w *versionMonitor) sample(f *fleet) {
	for _, n := range f.instances {
		version := n.version()
		if version < w.lastVersions[n] {
			w.violation = fmt.Sprintf("the version of %s fell from %d to %d", n.name, w.lastVersions[n], version)
		}
		w.lastVersions[n] = version
	}
}

// wait advances virtual time and samples every 50 ms.
func (w *versionMonitor) wait(f *fleet, duration time.Duration) {
	for ; duration > 0; duration -= 50 * time.Millisecond {
		time.Sleep(min(duration, 50*time.Millisecond))
		w.sample(f)
	}
}

// scenario runs steps on a fleet. After each accepted change, the faults do not
// change for activationBound. At its end, all instances that reach the table, or a
// peer that reaches it, must have the version.
type scenario struct {
	versionMonitor
	t           *testing.T
	fleet       *fleet
	tablesDown  map[*instance]bool
	pausedUntil map[*instance]time.Time
	rate        int
}

func (c *scenario) run(steps []step) {
	for _, step := range steps {
		if c.violation != "" {
			return
		}
		a, b := c.fleet.instances[step.a], c.fleet.instances[step.b]
		switch step.kind {
		case stepChange:
			c.applyChange()
		case stepTableDown, stepTableUp:
			c.tablesDown[a] = step.kind == stepTableDown
			a.table.set(c.fleet.table, c.tablesDown[a])
		case stepLinkDown, stepLinkUp:
			if a != b {
				c.fleet.setLink(a, b, step.kind == stepLinkUp)
			}
		case stepPause:
			if time.Now().After(c.pausedUntil[a]) {
				c.pausedUntil[a] = time.Now().Add(time.Minute)
				a.post(func() { time.Sleep(time.Minute) })
			}
		case stepReplace:
			if time.Now().After(c.pausedUntil[a]) {
				c.fleet.replace(step.a, uint64(100+c.rate+step.wait))
			}
		case stepWait:
			c.wait(c.fleet, time.Duration(step.wait)*time.Millisecond)
		}
	}
}

// applyChange writes changes to the table directly and checks that they become
// active in time.
func (c *scenario) applyChange() {
	c.rate++
	writer := c.fleet.instances[0].directWriter()
	for range c.rate % 4 {
		setWorkspaceRate(c.t, writer, fmt.Sprintf("w%d", c.rate%3), c.rate)
		c.wait(c.fleet, time.Duration(c.rate*37%200)*time.Millisecond)
	}
	version := setRate(c.t, writer, c.rate)
	c.wait(c.fleet, activationBound)
	for _, n := range c.fleet.instances {
		if c.shouldHaveVersion(n, version) && n.version() < version {
			c.violation = fmt.Sprintf("%s has version %d instead of %d after %s", n.name, n.version(), version, activationBound)
		}
	}
}

// shouldHaveVersion reports whether an instance must have the version: it is not
// paused and reaches the table or a peer that is not paused and reaches the table.
func (c *scenario) shouldHaveVersion(n *instance, version uint64) bool {
	if time.Now().Before(c.pausedUntil[n].Add(activationBound)) {
		return false
	}
	if !c.tablesDown[n] {
		return true
	}
	for _, other := range c.fleet.instances {
		isRunning := !time.Now().Before(c.pausedUntil[other].Add(activationBound))
		if other != n && isRunning && !c.tablesDown[other] && c.fleet.isLinked(n, other) {
			return true
		}
	}
	return false
}

func TestActiveVersionNeverFallsAndRisesInTime(t *testing.T) {
	const size = 5
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r, size)
		seed := rapid.Uint64().Draw(r, "seed")
		violation := ""
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size, seed)
			seedTable(t, standin.NewMemoryTable(f.table))
			f.start()
			c := &scenario{t: t, fleet: f, versionMonitor: versionMonitor{lastVersions: make(map[*instance]uint64)}, tablesDown: make(map[*instance]bool), pausedUntil: make(map[*instance]time.Time)}
			c.wait(f, activationBound)
			c.run(steps)
			violation = c.violation
			for _, until := range c.pausedUntil {
				time.Sleep(time.Until(until)) // paused instances resume before the end
			}
			f.stop()
		})
		if violation != "" {
			r.Fatal(violation)
		}
	})
}

// TestActivationTime logs the virtual time from the acceptance of a change
// until the last instance has activated it, and checks it against
// activationBound.
func TestActivationTime(t *testing.T) {
	settings := map[string]struct{ tablesDown, linksDown bool }{
		"all reach all":     {},
		"half the tables":   {tablesDown: true},
		"no links to peers": {linksDown: true},
	}
	for name, setting := range settings {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 9, func(is *is.I, f *fleet) {
				for i, a := range f.instances {
					a.table.set(f.table, setting.tablesDown && i < 5)
					for _, b := range f.instances[i+1:] {
						if setting.linksDown {
							f.setLink(a, b, false)
						}
					}
				}
				var times []time.Duration
				for rate := range 100 {
					version := setRate(t, f.instances[8].directWriter(), rate+1)
					times = append(times, timeUntilActive(f, version))
					time.Sleep(time.Duration(rate) * 7 * time.Millisecond)
				}
				slices.Sort(times)
				t.Logf("p50 %s, longest %s of %d", times[50], times[99], len(times))
				is.True(times[99] <= activationBound)
			})
		})
	}
}

// timeUntilActive returns the time until all instances have a version, at most
// a minute.
func timeUntilActive(f *fleet, version uint64) time.Duration {
	begin := time.Now()
	for time.Since(begin) < time.Minute {
		if !slices.ContainsFunc(f.currentInstances(), func(n *instance) bool { return n.version() < version }) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(begin)
}
