package gossiper

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// fetchRetryDelay is the wait between two fetches of a table.
	fetchRetryDelay = 200 * time.Millisecond
	// rowsTimeout bounds a request for a table to another instance.
	rowsTimeout = 2 * time.Second
	// hedgeDelay is how long a leader may take to send a table until the next one is asked as well: the
	// link to a frozen one is closed after 1.35 s, of the 3 s in which a change must be in force. A
	// leader with 100 Mbit/s sends 300 kB to a fifth of 122 instances in less.
	hedgeDelay = 600 * time.Millisecond
	// fetchCheckInterval is how often a fetch checks whether another announcer is to be asked.
	fetchCheckInterval = 100 * time.Millisecond
)

// fetch is the fetch of a table from its announcers. Only its own goroutine uses it.
type fetch struct {
	gossiper *Gossiper
	name     string
	topic    *topic
	// nextAt is when the next announcer may be asked.
	nextAt time.Time
	// asked holds the IDs of the instances whose response is awaited.
	asked   map[string]bool
	results chan fetchResult
}

// fetchResult is the result of a request to an announcer.
type fetchResult struct {
	announcer string
	isFetched bool
}

// catchUp fetches a table from its announcers until the newest announced version is known here.
func (g *Gossiper) catchUp(name string, t *topic) {
	for isRetry := false; ; isRetry = true {
		now := g.timer.Now()
		f := &fetch{gossiper: g, name: name, topic: t, nextAt: now, asked: make(map[string]bool), results: make(chan fetchResult)}
		if !f.run(isRetry) || server.Sleep(g.ctx, g.timer, fetchRetryDelay) != nil {
			return
		}
	}
}

// run ends when an announcer has sent the table, or, without leaders, has not. It returns false if there
// is nothing to fetch or no one to fetch it from, and ends the topic's fetching then.
func (f *fetch) run(isRetry bool) bool {
	ctx, cancel := context.WithCancel(f.gossiper.ctx)
	defer cancel()
	hasLeaders := len(f.gossiper.links.LeaderIDs()) > 0
	for {
		announcer, isDone := f.nextAnnouncer(isRetry)
		if isDone {
			return false
		}
		if announcer != "" {
			f.ask(ctx, announcer)
		}
		result, ok := f.wait(ctx)
		switch {
		case ctx.Err() != nil:
			return false
		case ok && (result.isFetched || !hasLeaders):
			return true
		case ok:
			delete(f.asked, result.announcer)
			f.nextAt = f.gossiper.timer.Now()
		}
	}
}

// nextAnnouncer returns the ID of the announcer of a newer version to ask now, or "" for none. If there
// is nothing to fetch or no one to fetch it from, it ends the topic's fetching and sets isDone.
//
// Instances fetch at the same time, so each begins with the announcer at its own position, and none has
// to serve many of them; retries go to a random one. While leaders watch the table only they are asked, also
// those that announced an older version than the newest. The links of others may be too slow for the requests
// of all, and one that has started since has to send each the whole table.
func (f *fetch) nextAnnouncer(isRetry bool) (announcer string, isDone bool) {
	g, t := f.gossiper, f.topic
	position, _ := g.links.Position()
	leaderIDs := g.links.LeaderIDs()
	if isRetry {
		position = rand.Int()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.tables.Version(f.name)
	if g.ctx.Err() != nil || known >= t.receivedVersion || len(t.announcers) == 0 && len(f.asked) == 0 {
		t.isFetching = false
		return "", true
	}
	if g.timer.Now().Before(f.nextAt) || len(leaderIDs) == 0 && len(f.asked) > 0 {
		return "", false
	}
	isAsked := func(id string) bool { return f.asked[id] }
	leaders := slices.DeleteFunc(slices.Sorted(slices.Values(leaderIDs)), func(id string) bool {
		return isAsked(id) || t.announcedVersions[id] <= known
	})
	if len(leaders) > 0 {
		return leaders[position%len(leaders)], false
	}
	others := slices.DeleteFunc(slices.Sorted(slices.Values(t.announcers)), isAsked)
	if len(others) > 0 && !g.hasLeader(t) {
		return others[position%len(others)], false
	}
	return "", false
}

// ask requests the table from an announcer.
func (f *fetch) ask(ctx context.Context, announcer string) {
	f.asked[announcer], f.nextAt = true, f.gossiper.timer.Now().Add(hedgeDelay)
	f.gossiper.spawn(func() {
		isFetched := f.gossiper.fetchFrom(ctx, announcer, f.name, f.topic)
		select {
		case f.results <- fetchResult{announcer: announcer, isFetched: isFetched}:
		case <-ctx.Done():
		}
	})
}

// wait returns the next result, if there is one within fetchCheckInterval.
func (f *fetch) wait(ctx context.Context) (result fetchResult, ok bool) {
	due := make(chan struct{})
	defer f.gossiper.timer.After(fetchCheckInterval, func(time.Time) { close(due) })()
	select {
	case result = <-f.results:
		return result, true
	case <-due:
	case <-ctx.Done():
	}
	return fetchResult{}, false
}

// fetchFrom fetches a table from an announcer, and removes it from the announcers if that fails.
func (g *Gossiper) fetchFrom(ctx context.Context, announcer, name string, t *topic) bool {
	callCtx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	isFetched := g.fetchTable(callCtx, announcer, name)
	if !isFetched && ctx.Err() == nil {
		g.mu.Lock()
		t.announcers = slices.DeleteFunc(t.announcers, func(id string) bool { return id == announcer })
		delete(t.announcedVersions, announcer)
		g.mu.Unlock()
	}
	return isFetched
}

// fetchTable applies the changes of a table that another instance knows, or replaces it by
// that of the other instance, and reports whether it received either.
func (g *Gossiper) fetchTable(ctx context.Context, from, name string) bool {
	request := &encoder.RowsRequest{Table: name, After: g.tables.Version(name), AcceptsCompressed: true}
	response, err := g.links.Call(ctx, from, &encoder.Frame{Body: &encoder.Frame_RowsRequest{RowsRequest: request}})
	if err != nil {
		if !errors.Is(context.Cause(ctx), context.Canceled) {
			g.log.Info("table could not be fetched from another instance", "table", name, "from", from, "cause", err.Error())
		}
		return false
	}
	table := response.GetRowsResponse()
	if !table.GetAvailable() {
		return false
	}
	rows, err := decodeRows(table.GetRows())
	if err != nil {
		g.log.Info("table could not be fetched from another instance", "table", name, "from", from, "cause", err.Error())
		return false
	}
	g.log.Info("table fetched from another instance", "table", name, "from", from, "version", table.GetVersion(), "after", table.GetBaseVersion(), "rows", len(table.GetRows()))
	apply := g.tables.Replace
	if table.GetBaseVersion() > 0 {
		apply = g.tables.ApplyChanges
	}
	apply(name, rows, table.GetVersion(), g.recoveryTime(table.GetStoreRecoveryAgeMs()))
	return true
}
