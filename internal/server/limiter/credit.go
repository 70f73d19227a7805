package limiter

import (
	"slices"
	"strings"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// NotifyInstancesChanged records that the set of live instances has changed. This
// instance may then own further limits, whose credits from the previous owner may still
// be in use, so their ledgers warm up first.
func (l *Limiter) NotifyInstancesChanged(now time.Time) { l.instancesChangedAt.Store(now.UnixNano()) }

// HandleCreditRequest handles a credit request of an instance that considers this one the
// owner. After Stop it returns nil, so that the requesting instance reports its cost to the
// next owner.
func (l *Limiter) HandleCreditRequest(from string, request *encoder.CreditRequest) *encoder.CreditGrant {
	if l.stopped.Load() {
		return nil
	}
	now := l.timer.Now()
	grant := &encoder.CreditGrant{Sequence: request.GetSequence()}
	workspace := ""
	for _, w := range request.GetLimits() {
		limit := fullName(w.GetLimit(), &workspace)
		cost := make(map[string]uint64, len(w.GetStageCosts()))
		for _, s := range w.GetStageCosts() {
			cost[s.GetStage()] += s.GetCostMicros()
		}
		requested := limitRequest{tokens: float64(w.GetTokens()), unusedTokens: float64(w.GetExpiredTokens()), heldSlots: int(w.GetHeldSlots()), slots: int(w.GetTotalSlots()), idle: w.GetIdle()}
		g := l.grant(now, from, limit, requested, cost)
		grant.Limits = append(grant.Limits, &encoder.LimitGrant{
			Limit: w.GetLimit(), Tokens: uint32(g.tokens), Slots: uint32(g.slots), WaitMs: uint32((g.wait + time.Millisecond - 1).Milliseconds()),
			WarmingUp: g.warmingUp, BudgetExhausted: g.budgetBlocked,
		})
	}
	return grant
}

// HandleCreditGrant applies an owner's response to a credit request.
func (l *Limiter) HandleCreditGrant(_ string, grant *encoder.CreditGrant) {
	now := l.timer.Now()
	workspace := ""
	names := make([]string, 0, len(grant.GetLimits()))
	for _, g := range grant.GetLimits() {
		names = append(names, fullName(g.GetLimit(), &workspace))
	}
	// The grants are applied in reverse order: a client's request waits for its first
	// limit and, once notified, needs the credits of the following ones at once.
	for i, g := range slices.Backward(grant.GetLimits()) {
		a := l.account(names[i])
		a.mu.Lock()
		a.applyGrant(now, grant.GetSequence(), limitGrant{
			tokens: float64(g.GetTokens()), slots: int(g.GetSlots()), wait: time.Duration(g.GetWaitMs()) * time.Millisecond,
			warmingUp: g.GetWarmingUp(), budgetBlocked: g.GetBudgetExhausted(),
		})
		a.mu.Unlock()
	}
}

// grant responds to one instance's request from the ledger of a key.
func (l *Limiter) grant(now time.Time, requestingID, key string, w limitRequest, cost map[string]uint64) limitGrant {
	t := l.limits(key)
	var blocked time.Duration
	if l.budgets != nil && len(t.budget) > 0 {
		blocked = l.budgets.charge(key, t.budget, cost, now)
	}
	s := &l.ledgers[shardOf(key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := s.byKey[key]
	instancesChangedAt := time.Unix(0, l.instancesChangedAt.Load())
	if ledger == nil || (now.Sub(ledger.updatedAt) > warmUpDelay && ledger.updatedAt.Before(instancesChangedAt)) {
		ledger = newLedger(now, instancesChangedAt.Add(warmUpDelay))
		s.byKey[key] = ledger
	}
	listed := len(l.peers.ListedIDs())
	g := ledger.grant(now, requestingID, w, t, instanceCounts{listed: listed, unresponsive: max(0, listed-len(l.peers.LiveIDs()))})
	ledger.updatedAt = now
	if blocked > 0 {
		g.budgetBlocked = true
		g.wait = blocked
	}
	return g
}

// limits returns the limits of a key in the contracts in force.
func (l *Limiter) limits(key string) limits {
	workspace, name, isKind := strings.Cut(key, "/")
	contract := l.snapshot().Contract(workspace)
	if contract == nil {
		return limits{}
	}
	if !isKind {
		return limits{rate: contract.RateLimit(), slots: contract.ConcurrencyLimit()}
	}
	kind := contract.Kind(name)
	if kind == nil {
		return limits{}
	}
	return limits{rate: kind.RateLimit(), slots: kind.ConcurrencyLimit(), budget: kind.DailyBudget()}
}

// owner returns the live instance that owns a limit. A workspace and its kinds
// have the same owner, so that one frame requests all limits of a request.
func (l *Limiter) owner(key string) string {
	workspace, _, _ := strings.Cut(key, "/")
	return l.peers.OwnerID(workspace)
}

// renewCredits requests the credits that the accounts need and deletes unused
// accounts. All requests to one owner are sent together. It also returns the unspent
// rest of budgets that this instance no longer owns.
func (l *Limiter) renewCredits(now time.Time) {
	requestNumber := l.requestNumber.Add(1)
	requests := make(map[string]*encoder.CreditRequest)
	for i := range l.accounts {
		s := &l.accounts[i]
		s.mu.Lock()
		for key, a := range s.byKey {
			if l.renewAccount(a, now, requestNumber, requests) {
				delete(s.byKey, key)
			}
		}
		s.mu.Unlock()
	}
	l.sendRequests(requestNumber, requests)
	if l.budgets != nil {
		l.budgets.releaseUnowned(now, func(key string) bool { return l.owner(key) == l.self })
	}
}

// returnCredits returns all credits that this instance holds to their owners and
// reports its cost.
func (l *Limiter) returnCredits(now time.Time) {
	requestNumber := l.requestNumber.Add(1)
	requests := make(map[string]*encoder.CreditRequest)
	for i := range l.accounts {
		s := &l.accounts[i]
		s.mu.Lock()
		for _, a := range s.byKey {
			a.mu.Lock()
			if a.clearCredits(now) {
				l.requestFromOwner(a, now, requestNumber, requests)
			}
			a.mu.Unlock()
		}
		s.mu.Unlock()
	}
	l.sendRequests(requestNumber, requests)
}

// sendRequests sends each owner its requests, at most maxRequestsPerFrame a frame.
func (l *Limiter) sendRequests(requestNumber uint64, requests map[string]*encoder.CreditRequest) {
	for owner, request := range requests {
		limits := request.GetLimits()
		slices.SortFunc(limits, func(a, b *encoder.LimitRequest) int { return strings.Compare(a.GetLimit(), b.GetLimit()) })
		for chunk := range slices.Chunk(limits, maxRequestsPerFrame) {
			batch := &encoder.CreditRequest{Sequence: requestNumber, Limits: omitWorkspaces(chunk)}
			l.peers.Send(owner, &encoder.Frame{Body: &encoder.Frame_CreditRequest{CreditRequest: batch}})
		}
	}
}

// renewAccount adds an account's request if one is due. It reports whether the
// account can be deleted.
func (l *Limiter) renewAccount(a *account, now time.Time, requestNumber uint64, requests map[string]*encoder.CreditRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireCredits(now)
	if a.canDelete(now) {
		return true
	}
	if a.renewalPaused || (a.grantReceived != nil && now.Sub(a.requestedAt) < grantTimeout) {
		return false
	}
	if !a.isRenewalDue(now) {
		return false
	}
	l.requestFromOwner(a, now, requestNumber, requests)
	return false
}

// requestFromOwner applies the grant at once if this instance is the owner;
// otherwise it adds the account's request to requests. a.mu must be held.
func (l *Limiter) requestFromOwner(a *account, now time.Time, requestNumber uint64, requests map[string]*encoder.CreditRequest) {
	owner := l.owner(a.key)
	w := a.newLimitRequest(now, requestNumber, false)
	if owner == l.self {
		a.applyGrant(now, requestNumber, l.grant(now, l.self, a.key, w, a.costToReport()))
		return
	}
	if requests[owner] == nil {
		requests[owner] = &encoder.CreditRequest{}
	}
	requests[owner].Limits = append(requests[owner].Limits, encodeRequest(a, w))
}

// costToReport returns the cost that the owner has not confirmed and keeps it until
// a response arrives. Cost that was sent without a response is sent again, so a
// budget may count it twice but never misses it.
func (a *account) costToReport() map[string]uint64 {
	if a.unconfirmedCost == nil {
		a.unconfirmedCost = a.unreportedCost
	} else {
		for stage, micros := range a.unreportedCost {
			a.unconfirmedCost[stage] += micros
		}
	}
	a.unreportedCost = nil
	return a.unconfirmedCost
}

// encodeRequest returns the message for a request, with the cost to report.
func encodeRequest(a *account, w limitRequest) *encoder.LimitRequest {
	encoded := &encoder.LimitRequest{Limit: a.key, Tokens: uint32(w.tokens), ExpiredTokens: uint32(w.unusedTokens), HeldSlots: uint32(max(0, w.heldSlots)), TotalSlots: uint32(max(0, w.slots)), Idle: w.idle}
	for stage, micros := range a.costToReport() {
		encoded.StageCosts = append(encoded.StageCosts, &encoder.StageCost{Stage: stage, CostMicros: micros})
	}
	return encoded
}

// omitWorkspaces removes the workspace from the name of a kind's limit that follows
// another limit of the same workspace, which shortens the frame.
func omitWorkspaces(limits []*encoder.LimitRequest) []*encoder.LimitRequest {
	last := ""
	for _, w := range limits {
		workspace, kind, isKind := strings.Cut(w.GetLimit(), "/")
		if isKind && workspace == last {
			w.Limit = "/" + kind
		}
		last = workspace
	}
	return limits
}

// fullName returns the complete name of a limit in a frame. lastWorkspace is the
// workspace of the limit before; fullName updates it.
func fullName(limit string, lastWorkspace *string) string {
	first, _, _ := strings.Cut(limit, "/")
	if first == "" {
		return *lastWorkspace + limit
	}
	*lastWorkspace = first
	return limit
}

// Standalone implements PeerLinks for an instance without peers, which owns every limit.
// Its value is the ID of the instance.
type Standalone string

// OwnerID implements PeerLinks.
func (s Standalone) OwnerID(string) string { return string(s) }

// ListedIDs implements PeerLinks.
func (s Standalone) ListedIDs() []string { return []string{string(s)} }

// LiveIDs implements PeerLinks.
func (s Standalone) LiveIDs() []string { return []string{string(s)} }

// Send implements PeerLinks.
func (s Standalone) Send(string, *encoder.Frame) bool { return false }

var _ server.Limiter = (*Limiter)(nil)
