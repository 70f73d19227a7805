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
	dueStep     int
	from        int
	to          int
	incarnation int
	number      uint64
	request     *limitRequest
	grant       *limitGrant
}

// peer is one simulated instance.
type peer struct {
	account          *account
	ledger           *ledger
	current          condition
	since            time.Time
	reachable        []bool
	unreachableSteps []int
	changedAt        time.Time
	number           uint64
	// pendingSince is the step in which the request was sent whose grant is due; 0 if
	// none is due.
	pendingSince int
	waiting      int
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
	offered         int
	admittedPerStep []int
	offeredPerStep  []int
}

var simStart = time.Unix(1_000_000, 0)

func newSimulation(w strategy, tr scenario) *simulation {
	s := &simulation{strategy: w, scenario: tr, random: rand.New(rand.NewPCG(1, 2))}
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

func (s *simulation) newPeer(since time.Time) *peer {
	p := &peer{account: &account{key: simKey, arrivalsSince: simStart}, since: since, changedAt: since}
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

// connected reports whether two instances can exchange messages.
func (s *simulation) connected(a, b int) bool {
	x, y := s.peers[a].current, s.peers[b].current
	return !x.down && !y.down && !x.paused && !y.paused && x.partition == y.partition
}

// updateReachability updates which instances each instance considers reachable. A
// lost link is detected after simDetectionTime, a restored one at once.
func (s *simulation) updateReachability(now time.Time) {
	for i, p := range s.peers {
		if p.current.down || p.current.paused {
			continue
		}
		for j := range s.peers {
			if i == j {
				continue
			}
			if s.connected(i, j) {
				p.unreachableSteps[j] = 0
			} else {
				p.unreachableSteps[j]++
			}
			isReachable := time.Duration(p.unreachableSteps[j])*simStep < simDetectionTime
			if s.peers[j].current.down && s.scenario.name == "rolling replacement" {
				isReachable = false // it announced that it leaves
			}
			if isReachable != p.reachable[j] {
				p.reachable[j] = isReachable
				p.changedAt = now
			}
		}
	}
}

func (s *simulation) run() {
	for step := range int(simSeconds * time.Second / simStep) {
		at := time.Duration(step) * simStep
		now := simStart.Add(at)
		for i, p := range s.peers {
			next := s.scenario.state(i, s.owner, at)
			if next.incarnation != p.current.incarnation {
				s.peers[i] = s.newPeer(now)
			}
			s.peers[i].current = next
		}
		s.updateReachability(now)
		s.deliver(step, now)
		s.admittedPerStep = append(s.admittedPerStep, 0)
		s.offeredPerStep = append(s.offeredPerStep, 0)
		s.arrivals(step, at, now)
		s.renew(step, now)
	}
}

func (s *simulation) arrivals(step int, at time.Duration, now time.Time) {
	total := 0.0
	weights := make([]float64, simInstances)
	for i, p := range s.peers {
		if !p.current.down && !p.current.paused {
			weights[i] = s.scenario.weight(i, at)
			total += weights[i]
		}
	}
	for i, p := range s.peers {
		expected := s.scenario.offered(at) * simStep.Seconds() * weights[i] / total
		count := int(expected)
		if s.random.Float64() < expected-float64(count) {
			count++
		}
		s.offered += count
		s.offeredPerStep[step] += count
		for range count {
			p.account.recordArrival(now)
			p.waiting++
		}
		s.serve(i, step, now)
	}
}

// serve admits or refuses the waiting requests of an instance.
func (s *simulation) serve(i, step int, now time.Time) {
	p := s.peers[i]
	if p.current.down || p.current.paused {
		return
	}
	for p.waiting > 0 {
		ownerReachable := s.strategy.hasOwner && step-p.pendingSince < int(grantTimeout/simStep)
		if p.pendingSince == 0 {
			ownerReachable = s.strategy.hasOwner
		}
		outcome, _ := p.account.tryAcquire(now, limits{rate: simRate}, position{rank: i, count: simInstances}, ownerReachable)
		switch outcome {
		case creditTaken:
			p.account.running--
			s.admittedPerStep[step]++
		case creditRefused:
		case creditMissing:
			if p.pendingSince == 0 {
				s.sendRequest(i, step, now, true)
			}
			if p.pendingSince != 0 {
				return
			}
			continue
		}
		p.waiting--
	}
}

func (s *simulation) sendRequest(i, step int, now time.Time, requestWaits bool) {
	p := s.peers[i]
	owner := p.owner(i)
	p.number++
	w := p.account.newLimitRequest(now, p.number, requestWaits)
	if owner == i {
		p.account.applyGrant(now, p.number, s.grant(i, i, now, w))
		return
	}
	if requestWaits {
		p.pendingSince = max(step, 1)
	}
	s.messageCount += s.strategy.hops
	s.inflight = append(s.inflight, message{dueStep: step + s.strategy.hops, from: i, to: owner, incarnation: s.peers[owner].current.incarnation, number: p.number, request: &w})
}

func (p *peer) owner(self int) int {
	live := append([]bool(nil), p.reachable...)
	live[self] = true
	return chooseOwner(live)
}

func (s *simulation) grant(owner, requester int, now time.Time, w limitRequest) limitGrant {
	p := s.peers[owner]
	if p.ledger == nil || (now.Sub(p.ledger.updatedAt) > warmUpDelay && p.ledger.updatedAt.Before(p.changedAt)) {
		since := p.changedAt.Add(warmUpDelay)
		if s.strategy.copies > 0 {
			since = now // a successor has a copy of the grants
		}
		p.ledger = newLedger(now, since)
	}
	s.messageCount += s.strategy.copies
	unresponsive := 0
	for j, isReachable := range p.reachable {
		if !isReachable && j != owner {
			unresponsive++
		}
	}
	g := p.ledger.grant(now, fmt.Sprint(requester), w, limits{rate: simRate}, instanceCounts{listed: simInstances, unresponsive: unresponsive})
	p.ledger.updatedAt = now
	return g
}

func (s *simulation) deliver(step int, now time.Time) {
	messages := s.inflight
	s.inflight = nil
	for _, l := range messages {
		target := s.peers[l.to]
		if target.current.paused || l.dueStep > step {
			s.inflight = append(s.inflight, l)
			continue
		}
		if target.current.down || target.current.incarnation != l.incarnation || target.current.partition != s.peers[l.from].current.partition {
			continue
		}
		if l.request != nil {
			g := s.grant(l.to, l.from, now, *l.request)
			s.messageCount++
			s.inflight = append(s.inflight, message{dueStep: step + 1, from: l.to, to: l.from, incarnation: s.peers[l.from].current.incarnation, number: l.number, grant: &g})
			continue
		}
		target.account.applyGrant(now, l.number, *l.grant)
		if l.number == target.number {
			target.pendingSince = 0
		}
	}
}

// renew sends the periodic requests to the owners and ends waits that exceed
// grantTimeout.
func (s *simulation) renew(step int, now time.Time) {
	for i, p := range s.peers {
		if p.current.down || p.current.paused {
			continue
		}
		if p.pendingSince != 0 && step-p.pendingSince >= int(grantTimeout/simStep) {
			p.account.ownShareUntil = now.Add(CreditInterval)
			p.pendingSince = 0
			s.serve(i, step, now)
		}
		if s.strategy.hasOwner && p.pendingSince == 0 && step%int(renewInterval/simStep) == i {
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

// wronglyRefused returns the fraction of requests that were refused although the
// limit allowed them in the same second.
func (s *simulation) wronglyRefused() float64 {
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
	return missed / float64(s.offered)
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
	for _, tr := range scenarios() {
		for _, w := range strategies() {
			s := newSimulation(w, tr)
			s.run()
			fmt.Fprintf(&rows, "| %s | %s | %.1f | %.3f | %.3f | %.1f |\n", tr.name, w.name, s.overshoot(), s.usedShare(), s.wronglyRefused(), float64(s.messageCount)/simSeconds)
			if w.name != "owner with credits" {
				continue
			}
			if s.overshoot() > simRate*CreditInterval.Seconds() {
				t.Errorf("%s: %.1f requests above the limit, the bound is one credit interval, %.1f", tr.name, s.overshoot(), simRate*CreditInterval.Seconds())
			}
			if tr.faultFree && s.usedShare() < 0.95 {
				t.Errorf("%s: %.3f of the limit usable, the bound is 0.95", tr.name, s.usedShare())
			}
		}
	}
	t.Logf("limit %.0f a second, %d instances\n| scenario | strategy | above the limit, requests | used of the limit | wrongly refused | messages/s |\n|---|---|---|---|---|---|\n%s", simRate, simInstances, rows.String())
	is.True(rows.Len() > 0)
}
