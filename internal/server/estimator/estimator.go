// Package estimator estimates how long stages take, by size class.
//
// Quantiles are computed from sketches over the current window and the last one
// before it that has values, so that older times do not count. Without new values
// an estimate stays as it is. Reading an estimate takes no lock that Observe holds.
package estimator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// Parameters of the sketches.
const (
	// accuracy is the relative error of quantiles.
	accuracy = 0.02
	// windowLength is how long values are added to a sketch before the next one starts.
	windowLength = 10 * time.Second
	// valuesPerCompute is the number of values after which quantiles are computed again.
	valuesPerCompute = 16
	// medianQuantile and p95Quantile are the quantiles of an Estimate.
	medianQuantile = 0.5
	p95Quantile    = 0.95
	// minSamples is the number of values below which a class has no estimate.
	minSamples = 8
	// allClasses is the class of the bucket for all classes of a stage together.
	allClasses = -1
)

// Estimate is how long one attempt of a stage takes.
type Estimate struct {
	// Median is the median duration, P95 the 95th percentile.
	Median time.Duration
	P95    time.Duration
	// IsKnown means that there were enough values for an estimate.
	IsKnown bool
}

// bucketKey identifies attempts that are estimated together.
type bucketKey struct {
	stage   string
	service string
	class   int
}

// bucket holds the times of one key. mu guards the sketches; count and the computed
// quantiles, in nanoseconds, are read without it.
type bucket struct {
	mu                sync.Mutex
	current           *ddsketch.DDSketch
	previous          *ddsketch.DDSketch
	windowStart       time.Time
	addedSinceCompute int
	count             atomic.Int64
	median            atomic.Int64
	p95               atomic.Int64
}

// Estimator implements server.Observer. It is safe for concurrent use.
type Estimator struct {
	buckets sync.Map
}

// New returns an Estimator without any values.
func New() *Estimator { return &Estimator{} }

// Observe implements server.Observer. Only attempts with a complete response count.
func (e *Estimator) Observe(o server.Observation) {
	if !o.OK {
		return
	}
	for _, class := range [...]int{o.SizeClass, allClasses} {
		c, ok := e.buckets.Load(bucketKey{o.Stage, o.Service, class})
		if !ok {
			c, _ = e.buckets.LoadOrStore(bucketKey{o.Stage, o.Service, class}, &bucket{})
		}
		c.(*bucket).add(o.Duration, o.EndTime)
	}
}

// EstimateStage returns the estimate for a size class, or for all classes of the stage if
// the class has too few values.
func (e *Estimator) EstimateStage(stage, service string, class int) Estimate {
	for _, key := range [...]bucketKey{{stage, service, class}, {stage, service, allClasses}} {
		c, ok := e.buckets.Load(key)
		if !ok || c.(*bucket).count.Load() < minSamples {
			continue
		}
		found := c.(*bucket)
		return Estimate{Median: time.Duration(found.median.Load()), P95: time.Duration(found.p95.Load()), IsKnown: true}
	}
	return Estimate{}
}

// add adds a value. It computes the quantiles after each of the first valuesPerCompute
// values, and later once per valuesPerCompute values.
func (c *bucket) add(duration time.Duration, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || at.Sub(c.windowStart) >= windowLength {
		c.startWindow(at)
	}
	// Add fails only for values outside the sketch's range.
	_ = c.current.Add(duration.Seconds())
	c.addedSinceCompute++
	if c.count.Add(1) <= valuesPerCompute || c.addedSinceCompute >= valuesPerCompute {
		c.addedSinceCompute = 0
		c.computeQuantiles()
	}
}

// startWindow starts the next window. mu must be held.
func (c *bucket) startWindow(at time.Time) {
	next, err := ddsketch.NewDefaultDDSketch(accuracy)
	if err != nil {
		// The accuracy is a constant that the library accepts.
		panic(merry.Wrap(err))
	}
	c.previous, c.current, c.windowStart = c.current, next, at
}

// computeQuantiles computes the quantiles over both windows. mu must be held.
func (c *bucket) computeQuantiles() {
	sketch := c.current
	if c.previous != nil {
		sketch = c.current.Copy()
		// Both sketches have the same mapping, so they always merge.
		_ = sketch.MergeWith(c.previous)
	}
	for _, q := range [...]struct {
		quantile float64
		result   *atomic.Int64
	}{{medianQuantile, &c.median}, {p95Quantile, &c.p95}} {
		if value, err := sketch.GetValueAtQuantile(q.quantile); err == nil {
			q.result.Store(int64(value * float64(time.Second)))
		}
	}
}
