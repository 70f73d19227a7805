package chooser

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// paceExponent is the power of the expected time by which the utilization is weighted. With 1, replicas
	// that are slow for a short time get so many requests that they determine the 95th percentile; with 2, so
	// do replicas of speed 0.4.
	paceExponent = 3
	// affinitySlowdown is the ratio of a replica's pace to the median of the candidates above which it
	// is not picked by affinity. Two thirds to four fifths of a prompt are shared parts, so that a replica which has them
	// cached reads a prompt three to five times sooner than another of the same speed. With 1.6, replicas that were 2.5 times
	// slower for 600 ms had 10.8 instead of 6.1 million tokens read again elsewhere in a day.
	affinitySlowdown = 2.8
	// sentWeight is by how much the load of a replica is taken to have grown for each request that this instance
	// has sent since the last report: other instances that know a low load send requests as well. With 1, two of them
	// together filled a replica that had recovered to 32 requests at 16 slots; with 3, recovered replicas got more
	// requests than with the choice by load alone in 30 of 200 simulations, with 2 in 5.
	sentWeight = 2
	// Requests whose prompts differ by less than a half octave are of one size class.
	classesPerOctave = 2
)

// usualSpeed is the speed of replicas of which nothing is known.
var usualSpeed = server.Speed{Pace: 1}

// AttemptOption sets a property of an Attempt.
type AttemptOption func(*Attempt)

// WithPromptTokens sets the number of prompt tokens of the request, by which its time is compared with
// that of others.
func WithPromptTokens(tokens int) AttemptOption {
	return func(u *Attempt) {
		u.sample.SizeClass = int(math.Round(classesPerOctave * math.Log2(float64(max(tokens, 0)+1))))
	}
}

// ChangedSelections returns the number of selections that learned speeds have changed.
func (c *Chooser) ChangedSelections() uint64 { return c.changedCount.Load() }

// addSpeeds sets the speeds of candidates, and reports whether one may differ from usual.
func (c *Chooser) addSpeeds(candidates []*candidate) bool {
	hasSpeeds := c.speeds != nil && c.speeds.HasSpeeds(candidates[0].Service)
	for _, k := range candidates {
		k.speed = usualSpeed
		if hasSpeeds {
			k.speed = c.speeds.Speed(k.Replica)
		}
	}
	return hasSpeeds
}

// pickLeastTime picks the replica with the least expected time among those with the lowest penalty.
//
// A replica that has reported no load lately is taken to have the load at which its expected time is that of
// the others, so that replicas that have recovered do not get all requests and slow ones still get some. An
// exponentially distributed number is added to each load: several instances with the same knowledge then spread
// their requests in proportion to speed, instead of all choosing the same replica.
func (c *Chooser) pickLeastTime(candidates []*candidate, now time.Time) *candidate {
	usualScore, slots := knownScore(candidates, now)
	for _, k := range candidates {
		load := k.replicaState.expectedLoad(k.utilizationAt(usualScore)*k.limit(slots), now)
		k.score = k.scoreAt((load + c.random.ExpFloat64()) / k.limit(slots))
	}
	best := slices.MinFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), cmp.Compare(a.score, b.score))
	})
	least := slices.MinFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), cmp.Compare(a.replicaState.requestCount(now), b.replicaState.requestCount(now)))
	})
	if best.replicaState.requestCount(now) > least.replicaState.requestCount(now) {
		c.changedCount.Add(1)
	}
	return best
}

// hasLoad reports whether the replica has reported its load lately.
func (g *replicaState) hasLoad(now time.Time) bool { return now.Sub(g.loadReportedAt) < loadMaxAge }

// expectedLoad returns the reported load with the requests of this instance that were sent since. The
// older the report, the more the usual load counts instead, since other instances send requests too.
func (g *replicaState) expectedLoad(usual float64, now time.Time) float64 {
	age := float64(now.Sub(g.loadReportedAt)) / float64(loadMaxAge)
	if age >= 1 {
		return max(usual, float64(len(g.inflight)))
	}
	sent := 0
	for _, attempt := range g.inflight {
		if attempt.startedAt.After(g.loadReportedAt) {
			sent++
		}
	}
	reported := float64(g.load + sentWeight*sent)
	return max(reported+age*(usual-reported), float64(len(g.inflight)))
}

// scoreAt returns the score of the candidate at a utilization.
func (k *candidate) scoreAt(utilization float64) float64 {
	return utilization * math.Pow(k.speed.Pace*max(utilization, 1), paceExponent)
}

// utilizationAt returns the utilization at which the candidate has a score.
func (k *candidate) utilizationAt(score float64) float64 {
	utilization := score / math.Pow(k.speed.Pace, paceExponent)
	if utilization > 1 {
		return math.Pow(utilization, 1./(1+paceExponent))
	}
	return utilization
}

// knownScore returns the median score of the candidates that have reported their loads lately, and the
// greatest number of slots.
func knownScore(candidates []*candidate, now time.Time) (score float64, slots int) {
	for _, k := range candidates {
		slots = max(slots, k.replicaState.slots, k.Slots)
	}
	scores := make([]float64, 0, len(candidates))
	for _, k := range candidates {
		if k.replicaState.hasLoad(now) {
			scores = append(scores, k.scoreAt(float64(k.replicaState.load)/k.limit(slots)))
		}
	}
	if len(scores) == 0 {
		return 0, slots
	}
	slices.Sort(scores)
	return scores[len(scores)/2], slots
}

// limit returns the number of requests that the replica handles well: its learned limit, else its
// slots, else the given ones.
func (k *candidate) limit(slots int) float64 {
	return float64(max(cmp.Or(k.speed.Limit, k.replicaState.slots, k.Slots, slots), 1))
}

// isBusy reports whether the replica has too much load to be picked by affinity.
func (k *candidate) isBusy(now time.Time) bool {
	slots := k.replicaState.slots
	if k.speed.Limit > 0 {
		slots = min(slots, k.speed.Limit)
	}
	return slots > 0 && k.replicaState.hasLoad(now) && float64(k.replicaState.load) > affinityMaxUtilization*float64(slots)
}

// maxAffinityPace returns the pace up to which candidates are picked by affinity. It is computed from
// the median, so that few replicas do not determine it.
func maxAffinityPace(candidates []*candidate) float64 {
	paces := make([]float64, len(candidates))
	for n, k := range candidates {
		paces[n] = k.speed.Pace
	}
	slices.Sort(paces)
	return affinitySlowdown * paces[(len(paces)-1)/2]
}

// recordSpeed records what a response showed of the speed of its replica.
func (u *Attempt) recordSpeed(info server.ResponseInfo, now time.Time) {
	if u.chooser.speeds == nil {
		return
	}
	u.sample.Elapsed, u.sample.Info = now.Sub(u.startedAt), info
	u.chooser.speeds.RecordSample(&u.replica, u.sample)
}

// recordNoHeaders records how long an attempt waited that failed without response headers.
func (u *Attempt) recordNoHeaders(outcome Outcome, now time.Time) {
	if u.chooser.speeds == nil || u.hasHeaders || outcome != OutcomeFailure {
		return
	}
	u.sample.Elapsed, u.sample.HasNoHeaders = now.Sub(u.startedAt), true
	u.chooser.speeds.RecordSample(&u.replica, u.sample)
}
