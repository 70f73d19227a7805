package limiter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// TTLs of credits and delays of their renewal.
const (
	// CreditInterval is the time after which unused tokens expire. It also bounds
	// the burst of a limit.
	CreditInterval = time.Second
	// slotTTL is how long an instance may use slots after it requested them.
	slotTTL = 2 * time.Second
	// ownerSlotTTL is how long the owner reserves slots for an instance. It is
	// longer than slotTTL, so that no slot is granted twice.
	ownerSlotTTL = 3 * time.Second
	// warmUpDelay is how long a new owner grants no tokens and no further slots,
	// until the credits of the previous owner have expired.
	warmUpDelay = 3 * time.Second
	// bucketDepthTime is how long an empty token bucket takes to fill at the limit's rate.
	bucketDepthTime = CreditInterval / 2
	// prefetchTime is how long tokens requested in advance last at the current demand. It
	// is also the delay before the next request to the owner after one that was granted
	// no credit or could not be sent.
	prefetchTime = CreditInterval / 4
	// An instance counts as disconnected while its last renewal is older than
	// renewalMissedAfter and younger than forgetInstanceAfter; after that its
	// broken link is known.
	renewalMissedAfter  = 750 * time.Millisecond
	forgetInstanceAfter = 4 * time.Second
	// retryMargin is added to the wait for a token, so that the token is there when
	// the retry's own request reaches the owner.
	retryMargin = 10 * time.Millisecond
	// concurrencyRetryAfter is the retry delay when all slots are in use, since the
	// time at which one becomes free is unknown.
	concurrencyRetryAfter = time.Second
)

// limits are the rate per second, the concurrency and the daily budget in seconds
// by stage of one key; zero means no limit.
type limits struct {
	rate   float64
	slots  int
	budget map[string]float64
}

func (t limits) isLimited() bool { return t.rate > 0 || t.slots > 0 || len(t.budget) > 0 }

// bucketDepth returns the number of tokens that may be saved up.
func (t limits) bucketDepth() float64 { return max(1, t.rate*bucketDepthTime.Seconds()) }

// position is an instance's rank among the instances that the platform lists.
type position struct {
	rank  int
	count int
}

// slotShare returns the instance's own share of a number of slots. The shares of
// all ranks add up to that number.
func (p position) slotShare(key string, total int) int {
	share := total / p.count
	rank := (p.rank + int(xxhash.Sum64String(key)%uint64(p.count))) % p.count
	if rank < total%p.count {
		share++
	}
	return share
}

// rateShare returns the instance's own share of a rate.
func (p position) rateShare(total float64) float64 { return total / float64(p.count) }

// kindKey returns the key of a kind's limits. The key of a workspace's limits is
// the workspace.
func kindKey(workspace, kind string) string { return workspace + "/" + kind }

// requiredLimits returns the limits that apply to a request, that of the workspace
// first.
func requiredLimits(request *server.Request) []requiredLimit {
	var list []requiredLimit
	workspaceLimits := limits{rate: request.Contract.RateLimit(), slots: request.Contract.ConcurrencyLimit()}
	if workspaceLimits.isLimited() {
		list = append(list, requiredLimit{key: request.Workspace, limits: workspaceLimits})
	}
	kindLimits := limits{rate: request.Kind.RateLimit(), slots: request.Kind.ConcurrencyLimit(), budget: request.Kind.DailyBudget()}
	if kindLimits.isLimited() {
		list = append(list, requiredLimit{key: kindKey(request.Workspace, request.Kind.Name()), limits: kindLimits})
	}
	return list
}

// requiredLimit is one limit that applies to a request.
type requiredLimit struct {
	key    string
	limits limits
}
