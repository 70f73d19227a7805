package limiter

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// The simulation runs accounts and ledgers in steps of simStep, without clock or
// network, through every scenario with every strategy.
const (
	simStep          = 10 * time.Millisecond
	simSeconds       = 60
	simInstances     = 9
	simRate          = 90.0
	simDetectionTime = 2750 * time.Millisecond
	simKey           = "habari"
)

// message is a request or a grant in transit.
type message struct {
	dueStep       int
	from          int
	to            int
	incarnation   int
	requestNumber uint64
	request       *limitRequest
	grant         *limitGrant
}

// peer is one simulated instance.
type peer struct {
	account               *account
	ledger                *ledger
	condition             condition
	createdAt             time.Time
	reachable             []bool
	unreachableSteps      []int
	reachabilityChangedAt time.Time
	requestNumber         uint64
	// pendingSinceStep is the step in which the request without a grant was sent; 0 if
	// no grant is due.
	pendingSinceStep int
	waitingRequests  int
}

// simulation runs one strategy through one scenario.
type simulation struct {
	strategy        strategy
	scenario        scenario
	random          *rand.Rand
	owner           int
	peers           []*peer
	inflight        []message
	messageCount    int
	offeredCount    int
	admittedPerStep []int
	offeredPerStep  []int
}

var simStart = time.Unix(1_000_000, 0)

func newSimulation(st strategy, sc scenario) *simulation {
	s := &simulation{strategy: st, scenario: sc, random: rand.New(rand.NewPCG(1, 2))}
	for range simInstances {
		s.peers = append(s.peers, s.newPeer(simStart.Add(-time.Minute)))
	}
	all := make([]bool, simInstances)
	for i := range all {
		all[i] = true
	}
	s.owner = chooseOwner(all)
	return s
}

func (s *simulation) newPeer(createdAt time.Time) *peer {
	p := &peer{account: &account{key: simKey, arrivalsSince: simStart}, createdAt: createdAt, reachabilityChangedAt: createdAt}
	for range simInstances {
		p.reachable = append(p.reachable, true)
		p.unreachableSteps = append(p.unreachableSteps, 0)
	}
	return p
}

func chooseOwner(live []bool) int {
	best := -1
	var highest uint64
	for i, ok := range live {
		weight := xxhash.Sum64String(fmt.Sprint(simKey, i))
		if ok && (best < 0 || weight > highest) {
			best = i
			highest = weight
		}
	}
	return best
}

// areConnected reports whether two instances can exchange messages.
func (s *simulation) areConnected(a, b int) bool {
	x, y := s.peers[a].condition, s.peers[b].condition
	return !x.down && !y.down && !x.paused && !y.paused && x.partition == y.partition
}

// updateReachability updates which instances each instance considers reachable. A
// lost link is detected after simDetectionTime, a restored one at once.
func (s *simulation) updateReachability(now time.Time) {
	for i, p := range s.peers {
		if p.condition.down || p.condition.paused {
			continue
		}
		for j := range s.peers {
			if i == j {
				continue
			}
			if s.areConnected(i, j) {
				p.unreachableSteps[j] = 0
			} else {
				p.unreachableSteps[j]++
			}
			isReachable := time.Duration(p.unreachableSteps[j])*simStep < simDetectionTime
			if s.peers[j].condition.down && s.scenario.name == "rolling replacement" {
				isReachable = false // it announced that it leaves
			}
			if isReachable != p.reachable[j] {
				p.reachable[j] = isReachable
				p.reachabilityChangedAt = now
			}
		}
	}
}

func (s *simulation) run() {
	for step := range int(simSeconds * time.Second / simStep) {
		at := time.Duration(step) * simStep
		now := simStart.Add(at)
		for i, p := range s.peers {
			next := s.scenario.condition(i, s.owner, at)
			if next.incarnation != p.condition.incarnation {
				s.peers[i] = s.newPeer(now)
			}
			s.peers[i].condition = next
		}
		s.updateReachability(now)
		s.deliverMessages(step, now)
		s.admittedPerStep = append(s.admittedPerStep, 0)
		s.offeredPerStep = append(s.offeredPerStep, 0)
		s.addArrivals(step, at, now)
		s.renewCredits(step, now)
	}
}

func (s *simulation) addArrivals(step int, at time.Duration, now time.Time) {
	total := 0.0
	weights := make([]float64, simInstances)
	for i, p := range s.peers {
		if !p.condition.down && !p.condition.paused {
			weights[i] = s.scenario.weight(i, at)
			total += weights[i]
		}
	}
	for i, p := range s.peers {
		expected := s.scenario.offeredRate(at) * simStep.Seconds() * weights[i] / total
		count := int(expected)
		if s.random.Float64() < expected-float64(count) {
			count++
		}
		s.offeredCount += count
		s.offeredPerStep[step] += count
		for range count {
			p.account.recordArrival(now)
			p.waitingRequests++
		}
		s.serve(i, step, now)
	}
}

// serve admits or refuses the waiting requests of an instance.
func (s *simulation) serve(i, step int, now time.Time) {
	p := s.peers[i]
	if p.condition.down || p.condition.paused {
		return
	}
	for p.waitingRequests > 0 {
		ownerReachable := s.strategy.hasOwner && step-p.pendingSinceStep < int(grantTimeout/simStep)
		if p.pendingSinceStep == 0 {
			ownerReachable = s.strategy.hasOwner
		}
		outcome, _ := p.account.tryAcquire(now, limits{rate: simRate}, position{rank: i, count: simInstances}, ownerReachable)
		switch outcome {
		case creditTaken:
			p.account.runningRequests--
			s.admittedPerStep[step]++
		case creditRefused:
		case creditMissing:
			if p.pendingSinceStep == 0 {
				s.sendRequest(i, step, now, true)
			}
			if p.pendingSinceStep != 0 {
				return
			}
			continue
		}
		p.waitingRequests--
	}
}

func (s *simulation) sendRequest(i, step int, now time.Time, requestWaits bool) {
	p := s.peers[i]
	owner := p.owner(i)
	p.requestNumber++
	w := p.account.newLimitRequest(now, p.requestNumber, requestWaits)
	if owner == i {
		p.account.applyGrant(now, p.requestNumber, s.grant(i, i, now, w))
		return
	}
	if requestWaits {
		p.pendingSinceStep = max(step, 1)
	}
	s.messageCount += s.strategy.hops
	s.inflight = append(s.inflight, message{dueStep: step + s.strategy.hops, from: i, to: owner, incarnation: s.peers[owner].condition.incarnation, requestNumber: p.requestNumber, request: &w})
}

func (p *peer) owner(self int) int {
	live := append([]bool(nil), p.reachable...)
	live[self] = true
	return chooseOwner(live)
}

func (s *simulation) grant(owner, from int, now time.Time, w limitRequest) limitGrant {
	p := s.peers[owner]
	if p.ledger == nil || (now.Sub(p.ledger.updatedAt) > warmUpDelay && p.ledger.updatedAt.Before(p.reachabilityChangedAt)) {
		grantsFrom := p.reachabilityChangedAt.Add(warmUpDelay)
		if s.strategy.copies > 0 {
			grantsFrom = now // a successor has a copy of the grants
		}
		p.ledger = newLedger(now, grantsFrom)
	}
	s.messageCount += s.strategy.copies
	unresponsive := 0
	for j, isReachable := range p.reachable {
		if !isReachable && j != owner {
			unresponsive++
		}
	}
	g := p.ledger.grant(now, fmt.Sprint(from), w, limits{rate: simRate}, instanceCounts{listed: simInstances, unresponsive: unresponsive})
	p.ledger.updatedAt = now
	return g
}

func (s *simulation) deliverMessages(step int, now time.Time) {
	messages := s.inflight
	s.inflight = nil
	for _, m := range messages {
		target := s.peers[m.to]
		if target.condition.paused || m.dueStep > step {
			s.inflight = append(s.inflight, m)
			continue
		}
		if target.condition.down || target.condition.incarnation != m.incarnation || target.condition.partition != s.peers[m.from].condition.partition {
			continue
		}
		if m.request != nil {
			g := s.grant(m.to, m.from, now, *m.request)
			s.messageCount++
			s.inflight = append(s.inflight, message{dueStep: step + 1, from: m.to, to: m.from, incarnation: s.peers[m.from].condition.incarnation, requestNumber: m.requestNumber, grant: &g})
			continue
		}
		target.account.applyGrant(now, m.requestNumber, *m.grant)
		if m.requestNumber == target.requestNumber {
			target.pendingSinceStep = 0
		}
	}
}

// renewCredits sends the periodic requests to the owners and ends waits that exceed
// grantTimeout.
func (s *simulation) renewCredits(step int, now time.Time) {
	for i, p := range s.peers {
		if p.condition.down || p.condition.paused {
			continue
		}
		if p.pendingSinceStep != 0 && step-p.pendingSinceStep >= int(grantTimeout/simStep) {
			p.account.ownShareUntil = now.Add(CreditInterval)
			p.pendingSinceStep = 0
			s.serve(i, step, now)
		}
		if s.strategy.hasOwner && p.pendingSinceStep == 0 && step%int(renewInterval/simStep) == i {
			s.sendRequest(i, step, now, false)
		}
	}
}

// overshoot returns the largest number of requests admitted above the limit in any
// period of the run.
func (s *simulation) overshoot() float64 {
	worst, current := 0.0, 0.0
	for _, n := range s.admittedPerStep {
		current = max(0, current-simRate*simStep.Seconds()) + float64(n)
		worst = max(worst, current)
	}
	return worst
}

// wrongRefusalShare returns the fraction of requests that were refused although the
// limit allowed them in the same second.
func (s *simulation) wrongRefusalShare() float64 {
	perSecond := int(time.Second / simStep)
	missed := 0.0
	for from := 0; from < len(s.admittedPerStep); from += perSecond {
		offered, admitted := 0, 0
		for i := from; i < from+perSecond; i++ {
			offered += s.offeredPerStep[i]
			admitted += s.admittedPerStep[i]
		}
		missed += max(0, min(float64(offered), simRate)-float64(admitted))
	}
	return missed / float64(s.offeredCount)
}

// usedShare returns the fraction of the limit that was used; the first sixth of
// the time is left out.
func (s *simulation) usedShare() float64 {
	total := 0
	for _, n := range s.admittedPerStep[len(s.admittedPerStep)/6:] {
		total += n
	}
	return float64(total) / (simRate * simSeconds * 5 / 6)
}

// TestChosenStrategyStaysWithinBounds prints a comparison of all strategies and
// checks the bounds of the one in use.
func TestChosenStrategyStaysWithinBounds(t *testing.T) {
	is := is.New(t)
	var rows strings.Builder
	for _, sc := range scenarios() {
		for _, st := range strategies() {
			s := newSimulation(st, sc)
			s.run()
			fmt.Fprintf(&rows, "| %s | %s | %.1f | %.3f | %.3f | %.1f |\n", sc.name, st.name, s.overshoot(), s.usedShare(), s.wrongRefusalShare(), float64(s.messageCount)/simSeconds)
			if st.name != "owner with credits" {
				continue
			}
			if s.overshoot() > simRate*CreditInterval.Seconds() {
				t.Errorf("%s: %.1f requests above the limit, the bound is one credit interval, %.1f", sc.name, s.overshoot(), simRate*CreditInterval.Seconds())
			}
			if sc.faultFree && s.usedShare() < 0.95 {
				t.Errorf("%s: %.3f of the limit used, the bound is 0.95", sc.name, s.usedShare())
			}
		}
	}
	t.Logf("limit %.0f a second, %d instances\n| scenario | strategy | above the limit, requests | used of the limit | wrongly refused | messages/s |\n|---|---|---|---|---|---|\n%s", simRate, simInstances, rows.String())
	is.True(rows.Len() > 0)
}
