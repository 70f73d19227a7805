package throttler

import (
	"context"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// query is a request to the owner of a service's limits.
type query struct {
	request *encoder.PermitRequest
	// indices are the positions of the request's replicas among those that Acquire received.
	indices []int
	// otherwise is the index that Acquire returns, with wait, if the owner grants no request.
	otherwise int
	wait      time.Duration
}

// prepare returns the query for a request to one of the replicas. It asks for nothing if this
// instance can decide itself.
func (t *Throttler) prepare(replicas []server.Replica, rank int, isScarce bool) query {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	q := query{otherwise: -1}
	if len(replicas) == 0 {
		return q
	}
	service := replicas[0].Service
	if isScarce {
		if q.wait = t.rankBlock(service, rank, now); q.wait > 0 {
			return q
		}
	}
	q.request = &encoder.PermitRequest{Service: service, Rank: uint32(max(rank, 0)), IsScarce: isScarce}
	for n := range replicas {
		l := t.limits[replicas[n].Incarnation()]
		isFree := l == nil || !l.isLimited(now)
		if !isFree && l.tokens > 0 && now.Before(l.tokensEnd) && len(q.indices) == 0 {
			l.tokens--
			isFree = true
		}
		if isFree {
			q.otherwise, q.wait = n, 0
			break
		}
		if blocked := l.blockedUntil.Sub(now); blocked > 0 {
			q.wait = shorter(q.wait, blocked)
			continue
		}
		q.indices = append(q.indices, n)
		q.request.Replicas = append(q.request.Replicas, encodeLimit(replicas[n].Incarnation(), l, now))
		if len(q.indices) == maxAsked {
			break
		}
	}
	return q
}

// rankBlock returns for how long requests of a rank get no replica of a service whose replicas all
// state limits. The caller holds mu.
func (t *Throttler) rankBlock(service string, rank int, now time.Time) time.Duration {
	var longest time.Duration
	for blockedRank, until := range t.rankBlocks[service] {
		switch blocked := until.Sub(now); {
		case blocked <= 0:
			delete(t.rankBlocks[service], blockedRank)
		case blockedRank <= rank:
			longest = max(longest, blocked)
		}
	}
	return longest
}

// ask has the owner decide on a request. It returns nil if the owner does not respond.
func (t *Throttler) ask(ctx context.Context, request *encoder.PermitRequest) *encoder.PermitResponse {
	owner := t.links.OwnerID(request.GetService())
	if owner == t.self {
		return t.grant(request)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	frame, err := t.links.Ask(ctx, owner, &encoder.Frame{Body: &encoder.Frame_PermitRequest{PermitRequest: request}})
	if err != nil {
		t.log.V(1).Info("the owner of the limits of a service did not respond", "service", request.GetService(), "owner", owner, "cause", err.Error())
		return nil
	}
	return frame.GetPermitResponse()
}

// applyResponse applies the response of the owner, nil for none, and returns what Acquire returns.
func (t *Throttler) applyResponse(q query, response *encoder.PermitResponse) (index int, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	for _, known := range response.GetLimits() {
		t.mergeLimit(known, now)
	}
	granted := int(response.GetGranted()) - 1
	wait = q.wait
	for n, asked := range q.request.GetReplicas() {
		l := t.limits[asked.GetIncarnation()]
		if l == nil {
			continue
		}
		blocked := failureBlock
		if n < len(response.GetWaitMs()) {
			blocked = time.Duration(response.GetWaitMs()[n]) * time.Millisecond
		}
		switch {
		case n == granted:
			l.tokens, l.tokensEnd = int(response.GetTokens())-1, now.Add(tokenLifetime)
		case blocked > 0:
			l.blockedUntil = now.Add(min(blocked, maxBlock))
			wait = shorter(wait, blocked)
		}
	}
	if rankWait := time.Duration(response.GetRankWaitMs()) * time.Millisecond; rankWait > 0 {
		if t.rankBlocks[q.request.GetService()] == nil {
			t.rankBlocks[q.request.GetService()] = make(map[int]time.Time)
		}
		t.rankBlocks[q.request.GetService()][int(q.request.GetRank())] = now.Add(min(rankWait, maxBlock))
		wait = rankWait
	}
	if granted >= 0 && granted < len(q.indices) {
		return q.indices[granted], 0
	}
	if q.otherwise >= 0 {
		return q.otherwise, 0
	}
	return -1, wait
}

// shorter returns the shorter of two times, of which zero means none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
