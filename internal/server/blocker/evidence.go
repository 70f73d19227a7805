package blocker

import (
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is the number of incarnations of replicas that must have crashed under
	// requests with a part until it is blocked, and minRequestCrashes that for one request.
	minCrashes        = 4
	minRequestCrashes = 3
	// minCrashSpread is the time between the first and the last crash under one request from
	// which it is blocked although its service completes no others: all replicas of the service
	// may be down for the most part, because of the request.
	minCrashSpread = time.Second
	// completionMargin is how long before the first of these crashes no request with the part
	// may have been completed, so that many crashes at one moment, for another reason, prove
	// nothing against a part that other replicas serve.
	completionMargin = 2 * time.Second
	// crashMaxAge is the age from which a crash does not count any more.
	crashMaxAge = 10 * time.Minute
	// The bounds of the memory that an evidence uses. Beyond them the oldest are dropped.
	maxSuspects       = 4096
	maxCrashesPerPart = 16
	maxCompletions    = 8192
	// maxRequestCompletions bounds the completed requests; most come once only.
	maxRequestCompletions = 2048
	maxExplained          = 4096
	maxSurvivals          = 4096
	maxPartBytes          = 64
	maxParts              = 256
	maxRequestKeys        = 4
	maxServices           = 32
	// maxQueriedIncarnations bounds the incarnations that are asked whether they still serve.
	maxQueriedIncarnations = 32
)

// crash is the end of an incarnation of a service's replica while it ran a request.
type crash struct {
	service, incarnation string
	// requests are the keys of the request.
	requests []string
	at       time.Time
}

// evidence is what is known for and against the parts of prompts. It uses no clock and is not
// safe for concurrent use.
type evidence struct {
	// crashes holds, by part, the crashes under requests with the part.
	crashes map[string][]crash
	// completions holds, by part, when a request with the part was last completed, and by
	// serviceKey, when any request was.
	completions recentTimes
	// requestCompletions holds, by request, when it was last completed.
	requestCompletions recentTimes
	// explained holds the incarnations that crashed under requests with a part that was
	// blocked. They count against no other part.
	explained recentTimes
	// explainedBy holds, by incarnation, the blocked request under which it crashed. The crash
	// counts against no other request, nor against a part of another one that ran beside it.
	// Whether a part of the blocked request is the cause remains open.
	explainedBy map[string]string
	// survivals holds, by incarnation, when it last proved to serve: what ended before was no crash of it.
	survivals recentTimes
	// endings holds, by incarnation, the first attempt that it ended without a response to a later one since.
	endings endings
	// restartTime is zero if incarnations are known. Otherwise replicas are known by their
	// IDs only, and a crash that follows the last one of its replica by more than this is one
	// of its next incarnation.
	restartTime time.Duration
	// lastCrashes holds, by replica, its last crash if restartTime is set.
	lastCrashes map[string]crash
}

func newEvidence() *evidence {
	return &evidence{
		crashes: make(map[string][]crash), lastCrashes: make(map[string]crash), explainedBy: make(map[string]string),
		completions: recentTimes{limit: maxCompletions}, requestCompletions: recentTimes{limit: maxRequestCompletions}, explained: recentTimes{limit: maxExplained},
		survivals: recentTimes{limit: maxSurvivals}, endings: make(endings),
	}
}

// serviceKey returns the key of a service in evidence.completions. No part has it, as it is
// longer than any.
func serviceKey(service string) string { return strings.Repeat("/", maxPartBytes) + service }

// addCrash records that an incarnation crashed under a request with the keys and parts.
func (e *evidence) addCrash(service, incarnation string, requests, parts []string, at time.Time) {
	incarnation = e.nameIncarnation(incarnation, at)
	for _, part := range slices.Concat(parts, requests) {
		known := slices.DeleteFunc(slices.Clone(e.crashes[part]), e.isRefuted)
		if slices.ContainsFunc(known, func(c crash) bool { return c.incarnation == incarnation }) {
			continue
		}
		if known == nil && len(e.crashes) >= maxSuspects {
			e.dropOldestSuspect()
		}
		known = append(known, crash{service: service, incarnation: incarnation, requests: requests, at: at})
		slices.SortFunc(known, func(a, b crash) int { return a.at.Compare(b.at) })
		e.crashes[part] = known[max(0, len(known)-maxCrashesPerPart):]
	}
}

// recordEnding records that an incarnation ended an attempt at a time, and reports whether the attempt may have
// run when the incarnation crashed. beganAt is zero for one of another instance.
func (e *evidence) recordEnding(incarnation string, beganAt, at time.Time) bool {
	if e.restartTime != 0 {
		return true // the next incarnation has the same name
	}
	return e.endings.record(incarnation, beganAt, at)
}

// nameIncarnation returns the name of the incarnation of a replica that crashed at a time.
func (e *evidence) nameIncarnation(replica string, at time.Time) string {
	if e.restartTime == 0 {
		return replica
	}
	last, ok := e.lastCrashes[replica]
	if !ok || at.Sub(last.at) > e.restartTime {
		if len(e.lastCrashes) >= maxExplained {
			clear(e.lastCrashes)
		}
		last = crash{incarnation: replica + "/" + at.Format(time.RFC3339Nano), at: at}
		e.lastCrashes[replica] = last
	}
	return last.incarnation
}

// dropOldestSuspect drops the part whose last crash is the oldest.
func (e *evidence) dropOldestSuspect() {
	oldest, oldestAt := "", time.Time{}
	for part, list := range e.crashes {
		if at := list[len(list)-1].at; oldest == "" || at.Before(oldestAt) {
			oldest, oldestAt = part, at
		}
	}
	delete(e.crashes, oldest)
}

// addCompletion records that a request with the part was completed.
func (e *evidence) addCompletion(part string, at time.Time) {
	if isRequestKey(part) {
		e.requestCompletions.add(part, at)
		return
	}
	e.completions.add(part, at)
}

// completedAt returns when a request with the part was last completed.
func (e *evidence) completedAt(part string) (time.Time, bool) {
	if isRequestKey(part) {
		return e.requestCompletions.find(part)
	}
	return e.completions.find(part)
}

// isRefuted reports whether the incarnation of a crash proved to serve after it.
func (e *evidence) isRefuted(c crash) bool {
	survivedAt, ok := e.survivals.find(c.incarnation)
	return ok && !c.at.After(survivedAt)
}

// isExplained reports whether the cause of a crash is known, and is not the part.
func (e *evidence) isExplained(c crash, part string) bool {
	if _, ok := e.explained.find(c.incarnation); ok {
		return true
	}
	request, ok := e.explainedBy[c.incarnation]
	return ok && request != part && !slices.Contains(c.requests, request)
}

// counted returns the crashes that count against a part.
func (e *evidence) counted(part string, now time.Time) []crash {
	var list []crash
	completedAt, hasCompleted := e.completedAt(part)
	for _, c := range e.crashes[part] {
		isExonerated := hasCompleted && !c.at.After(completedAt.Add(completionMargin))
		if !e.isExplained(c, part) && !isExonerated && !e.isRefuted(c) && now.Sub(c.at) < crashMaxAge {
			list = append(list, c)
		}
	}
	return list
}

// crashCount returns the most crashes that count against one of the parts.
func (e *evidence) crashCount(parts []string, now time.Time) (most int) {
	for _, part := range parts {
		most = max(most, len(e.counted(part, now)))
	}
	return most
}

// isSuspect reports whether the crashes that count against a part are enough. Those under a single
// request say nothing about its parts.
func isSuspect(part string, counted []crash) bool {
	if isRequestKey(part) {
		return len(counted) >= minRequestCrashes
	}
	if len(counted) < minCrashes {
		return false
	}
	return !isSameRequest(counted)
}

// isSameRequest reports whether all crashes were under one request.
func isSameRequest(list []crash) bool {
	return !slices.ContainsFunc(list, func(c crash) bool {
		return len(c.requests) == 0 || c.requests[0] != list[0].requests[0]
	})
}

// suspects returns the parts against which enough crashes count.
func (e *evidence) suspects(now time.Time) []string {
	var parts []string
	for part := range e.crashes {
		if isSuspect(part, e.counted(part, now)) {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

// conviction is a part to block, and when the first crash happened that counts against it.
type conviction struct {
	part  string
	since time.Time
}

// isContrasted reports whether requests without the part have been completed since the first of the
// crashes that count against it, by the service at which it crashed. Otherwise the service may
// fail for all requests alike. Requests with the part were completed before these crashes only.
func (e *evidence) isContrasted(part string, counted []crash) bool {
	first, last := counted[0], counted[len(counted)-1]
	if isRequestKey(part) && last.at.Sub(first.at) >= minCrashSpread {
		return true
	}
	completedAt, ok := e.completions.find(serviceKey(last.service))
	return ok && completedAt.After(first.at)
}

// queries returns the keys of the completions that other instances are asked for: up to maxParts
// suspects, and their services.
func (e *evidence) queries(now time.Time) (parts, keys []string) {
	parts = e.suspects(now)
	parts = parts[:min(len(parts), maxParts)]
	for _, part := range parts {
		counted := e.counted(part, now)
		if key := serviceKey(counted[len(counted)-1].service); len(keys) < maxServices && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return parts, append(keys, parts...)
}

// suspectedIncarnations returns the incarnations whose crashes count against the parts.
func (e *evidence) suspectedIncarnations(parts []string, now time.Time) []string {
	var list []string
	for _, part := range parts {
		for _, c := range e.counted(part, now) {
			if !slices.Contains(list, c.incarnation) {
				list = append(list, c.incarnation)
			}
		}
	}
	return list[:min(len(list), maxQueriedIncarnations)]
}

// convict returns those of the queried parts that are to be blocked, and counts their crashes
// against no other part. Of several suspects that share crashes, the one with the most explains
// those of the others; with as many, a part with which no request was completed goes before one
// that has been. Crashes after queriedAt do not suffice: their replicas were not asked yet.
func (e *evidence) convict(queried []string, queriedAt, now time.Time) []conviction {
	var convicted []conviction
	for {
		worst := e.worstSuspects(queried, queriedAt, now)
		if len(worst) == 0 {
			return convicted
		}
		convicted = append(convicted, worst...)
		for _, c := range worst {
			e.explain(c.part)
		}
	}
}

// worstSuspects returns the suspects among the queried parts that the most speaks against.
func (e *evidence) worstSuspects(queried []string, queriedAt, now time.Time) []conviction {
	var worst []conviction
	most := 0
	for _, part := range queried {
		counted := e.counted(part, now)
		if !isSuspect(part, until(counted, queriedAt)) || !e.isContrasted(part, counted) || isRequestKey(part) && e.hasOtherCause(part, counted, now) {
			continue
		}
		score := 2 * len(counted)
		if _, hasCompleted := e.completedAt(part); !hasCompleted {
			score++
		}
		if score > most {
			worst, most = nil, score
		}
		if score == most {
			worst = append(worst, conviction{part: part, since: counted[0].at})
		}
	}
	return worst
}

// until returns the crashes of a list, which is in order of time, until a time.
func until(list []crash, end time.Time) []crash {
	if n := slices.IndexFunc(list, func(c crash) bool { return c.at.After(end) }); n >= 0 {
		return list[:n]
	}
	return list
}

// hasOtherCause reports whether something else may have caused all crashes under a request: a part, or
// another request, under which the same incarnations crashed. A request that only ran beside the cause
// has not more crashes than that one, so the next crash tells them apart.
func (e *evidence) hasOtherCause(request string, crashes []crash, now time.Time) bool {
	for other, list := range e.crashes {
		if other == request || len(list) < len(crashes) || isOfOneRequest(request, other, list, crashes) {
			continue
		}
		counted := e.counted(other, now)
		explainsAll := !slices.ContainsFunc(crashes, func(c crash) bool {
			return !slices.ContainsFunc(counted, func(o crash) bool { return o.incarnation == c.incarnation })
		})
		if explainsAll {
			return true
		}
	}
	return false
}

// isOfOneRequest reports whether a key is another key of a request, or a part that only this request
// has crashed replicas with.
func isOfOneRequest(request, other string, ofOther, ofRequest []crash) bool {
	isOfRequest := !slices.ContainsFunc(ofOther, func(c crash) bool { return !slices.Contains(c.requests, request) })
	isOfOther := !slices.ContainsFunc(ofRequest, func(c crash) bool { return !slices.Contains(c.requests, other) })
	return isOfRequest || isOfOther
}

// explain counts the crashes under a part that is blocked against no other part; see explainedBy
// for a request.
func (e *evidence) explain(part string) {
	if len(e.explainedBy) >= maxExplained {
		clear(e.explainedBy)
	}
	for _, c := range e.crashes[part] {
		if isRequestKey(part) {
			e.explainedBy[c.incarnation] = part
			continue
		}
		e.explained.add(c.incarnation, c.at)
	}
	delete(e.crashes, part)
}

// recentTimes holds the latest times of up to twice limit names. The older half is dropped when
// the newer one is full.
type recentTimes struct {
	limit        int
	newer, older map[string]time.Time
}

func (t *recentTimes) add(name string, at time.Time) {
	if known, ok := t.find(name); ok && known.After(at) {
		at = known
	}
	if t.newer == nil || len(t.newer) >= t.limit {
		t.newer, t.older = make(map[string]time.Time), t.newer
	}
	t.newer[name] = at
}

func (t *recentTimes) find(name string) (time.Time, bool) {
	if at, ok := t.newer[name]; ok {
		return at, true
	}
	at, ok := t.older[name]
	return at, ok
}
