package blocker

import "time"

const (
	// blockDuration is how long a part is blocked for the first time, and requestBlockDuration
	// that for one request, which may only have run beside the cause. Each further time doubles
	// them, up to maxBlockDuration.
	blockDuration        = 10 * time.Minute
	requestBlockDuration = 2 * time.Minute
	maxBlockDuration     = 4 * time.Hour
	// probation is how long after the end of a block a single crash suffices to block the
	// part again.
	probation = time.Hour
	// maxBlocks bounds the blocked parts, which are sent in one message; beyond it the block
	// that ends first is dropped.
	maxBlocks = 512
)

// block is a part that is blocked, or was until less than probation ago.
type block struct {
	until time.Time
	// since is when the first crash happened that counted against the part. A request that
	// was completed later proves that the part crashes no replicas.
	since time.Time
	// times is how often the part was blocked.
	times int
}

// blocks holds blocks by part. It uses no clock and is not safe for concurrent use.
type blocks map[string]block

// isBlocked returns the time until which a part is blocked.
func (b blocks) isBlocked(part string, now time.Time) (until time.Time, ok bool) {
	current, ok := b[part]
	return current.until, ok && now.Before(current.until)
}

// isOnProbation reports whether the block of a part has ended a short time ago.
func (b blocks) isOnProbation(part string, now time.Time) bool {
	current, ok := b[part]
	return ok && !now.Before(current.until) && now.Sub(current.until) < probation
}

// next returns the block that begins now for a part.
func (b blocks) next(part string, since, now time.Time) block {
	times, duration := b[part].times+1, blockDuration
	if isRequestKey(part) {
		duration = requestBlockDuration
	}
	return block{until: now.Add(min(duration<<min(times-1, 8), maxBlockDuration)), since: since, times: times}
}

// set adds a block unless it is known, and reports whether it did. A known block keeps its end,
// as the time left in a message is longer by the time on the way.
func (b blocks) set(part string, added block) bool {
	current, exists := b[part]
	if exists && added.times <= current.times {
		return false
	}
	if !exists && len(b) >= maxBlocks {
		b.dropFirst()
	}
	b[part] = added
	return true
}

// dropFirst drops the block that ends first.
func (b blocks) dropFirst() {
	first, firstUntil := "", time.Time{}
	for part, current := range b {
		if first == "" || current.until.Before(firstUntil) {
			first, firstUntil = part, current.until
		}
	}
	delete(b, first)
}

// dropExpired drops the blocks whose probation has ended.
func (b blocks) dropExpired(now time.Time) {
	for part, current := range b {
		if now.Sub(current.until) >= probation {
			delete(b, part)
		}
	}
}
