// Package gossiper spreads changes of the store's tables between instances. Each
// instance announces the newest version of its tables to the others and fetches from
// them what it has not received from the store.
package gossiper

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// announceDelay is the wait after a change, so that changes in quick succession
	// share one announcement.
	announceDelay = 100 * time.Millisecond
	// fetchDelay is how long this instance waits for the store to deliver a version
	// that another instance announced, before it fetches the table from an announcer.
	fetchDelay = 600 * time.Millisecond
	// maxInlineBytes bounds the rows that an announcement carries. Larger changes are
	// fetched, so that each link carries them once only.
	maxInlineBytes = 8 << 10
	// maxFetchJitter bounds the random delay before a request that follows an
	// announcement, so that not all instances send theirs at once.
	maxFetchJitter = 100 * time.Millisecond
	// recoveryMaxAge is how long announcements mention that the store responds again.
	recoveryMaxAge = 3 * time.Second
	// enoughAnnouncers is the number of instances whose announcements of a version make
	// one by this instance superfluous.
	enoughAnnouncers = 3
)

// Tables gives access to the tables of the store as this instance knows them. It is
// safe for concurrent use.
type Tables interface {
	// Names returns the names of the tables.
	Names() []string
	// Version returns the version that a table is known up to; zero before it was read.
	Version(table string) uint64
	// Rows returns a whole table; ok is false until it was read.
	Rows(table string) (rows []server.StoredRow, version uint64, ok bool)
	// ChangesSince returns the changes of a table after a version.
	ChangesSince(table string, after uint64) []server.StoredRow
	// LoadedVersion returns the version as of which a table was first read whole, so that
	// ChangesSince lacks deletions before it; zero before that.
	LoadedVersion(table string) uint64
	// ApplyChanges applies changes of a table, which is then known up to version. See
	// RecoveredAt for recoveredAt.
	ApplyChanges(table string, rows []server.StoredRow, version uint64, recoveredAt time.Time)
	// Replace replaces a whole table by its rows as of version.
	Replace(table string, rows []server.StoredRow, version uint64, recoveredAt time.Time)
	// LastResponse returns when the store last responded to a call for a table.
	LastResponse(table string) time.Time
	// RecoveredAt returns when the store responded again, after failed calls, to the
	// instance that read the newest changes of a table. It is zero if no call failed.
	RecoveredAt(table string) time.Time
	// RecordOutage records an outage of the store that another instance has noticed.
	RecordOutage(outage server.Outage)
}

// PeerLinks carries frames to the other instances. It is safe for concurrent use.
type PeerLinks interface {
	// Self returns this instance.
	Self() server.Instance
	// LeaderIDs returns the IDs of the instances that watch the store on behalf of all
	// instances. It returns none if every instance watches the store itself.
	LeaderIDs() []string
	// Position returns the position of this instance among all that respond, by ID.
	Position() (index, count int)
	// Broadcast sends a frame to all linked instances.
	Broadcast(frame *encoder.Frame)
	// Call sends a frame to an instance and returns the response.
	Call(ctx context.Context, id string, frame *encoder.Frame) (*encoder.Frame, error)
}

// Gossiper announces changes of tables and handles the announcements of other instances.
// It is safe for concurrent use.
type Gossiper struct {
	log    logr.Logger
	timer  server.Timer
	tables Tables
	links  PeerLinks
	// mu guards isScheduled and the fields of the topics.
	mu sync.Mutex
	// isScheduled is set while an announcement is due.
	isScheduled bool
	// topics holds the state of each table by name; the map never changes.
	topics map[string]*topic
	// isAnnouncing is set while the announcement of a leader is being sent.
	isAnnouncing atomic.Bool
	compressor   *compressor
	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	stopTimer    func()
}

// topic is the state of the announcements of one table.
type topic struct {
	// announcedVersion is the newest version that this instance announced or left to
	// others, enough of which had announced it.
	announcedVersion uint64
	// receivedVersion is the newest version that other instances announced, and
	// announcers are the IDs of those that announced it.
	receivedVersion uint64
	announcers      []string
	// announcedVersions holds by ID the last version that each instance announced, unless a request to
	// it has failed since.
	announcedVersions map[string]uint64
	// leaderWatches holds by ID what each leader last announced of its watch of the table.
	leaderWatches map[string]leaderWatch
	// isFetching is set from when a fetch is scheduled until none is needed.
	isFetching bool
}

// New returns a Gossiper and starts its periodic announcements; Stop ends them.
func New(log logr.Logger, timer server.Timer, tables Tables, links PeerLinks) *Gossiper {
	g := &Gossiper{log: log, timer: timer, tables: tables, links: links, topics: make(map[string]*topic), compressor: newCompressor()}
	for _, name := range tables.Names() {
		g.topics[name] = &topic{leaderWatches: make(map[string]leaderWatch), announcedVersions: make(map[string]uint64)}
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.stopTimer = timer.Every(leaderInterval, func(time.Time) { g.startLeadershipAnnouncement() })
	return g
}

// Stop cancels the requests in progress and waits for them.
func (g *Gossiper) Stop() {
	g.stopTimer()
	g.mu.Lock()
	g.cancel()
	g.mu.Unlock()
	g.goroutines.Wait()
}

// spawn runs work in a goroutine that Stop waits for. After Stop it does nothing.
func (g *Gossiper) spawn(work func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() == nil {
		g.goroutines.Go(work)
	}
}

// NotifyChanged schedules an announcement. It must be called after a table changed here.
func (g *Gossiper) NotifyChanged() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isScheduled {
		g.isScheduled = true
		g.timer.After(announceDelay, func(time.Time) { go g.announceChanges() })
	}
}

// announceChanges announces the tables' new versions to the other instances.
func (g *Gossiper) announceChanges() {
	g.mu.Lock()
	g.isScheduled = false
	announcement := &encoder.VersionAnnouncement{}
	for _, name := range g.tables.Names() {
		if change := g.pendingChange(name, g.topics[name]); change != nil {
			announcement.Tables = append(announcement.Tables, change)
		}
	}
	g.mu.Unlock()
	g.broadcast(announcement)
}

// broadcast sends an announcement. It sends nothing if the announcement has no tables.
func (g *Gossiper) broadcast(announcement *encoder.VersionAnnouncement) {
	if len(announcement.GetTables()) == 0 {
		return
	}
	g.links.Broadcast(&encoder.Frame{Body: &encoder.Frame_VersionAnnouncement{VersionAnnouncement: announcement}})
}

// pendingChange returns the change of a table to announce and records it as
// announced. It returns nil if there is none or enough other instances announced it.
// The rows are left out if they are too large, nothing was announced before, or the store
// was restored since, as the rows do not show which others it has lost. The caller holds mu.
func (g *Gossiper) pendingChange(name string, t *topic) *encoder.TableVersion {
	version := g.tables.Version(name)
	if version <= t.announcedVersion {
		return nil
	}
	after := t.announcedVersion
	t.announcedVersion = version
	if t.receivedVersion >= version && len(t.announcers) >= enoughAnnouncers {
		return nil
	}
	change := &encoder.TableVersion{Table: name, Version: version, BaseVersion: after, StoreRecoveryAgeMs: g.recoveryAge(name)}
	bytes := 0
	for _, row := range g.tables.ChangesSince(name, after) {
		bytes += len(row.Name) + len(row.Value)
		change.Rows = append(change.Rows, encodeRow(row))
	}
	if bytes > maxInlineBytes || after == 0 || server.IsEarlierEra(after, version) {
		change.BaseVersion, change.Rows = version, nil
	}
	return change
}

// NotifyOutageEnd announces that the store responds again, so that the other instances begin their
// watches anew: an outage that they have not noticed may have interrupted them.
func (g *Gossiper) NotifyOutageEnd(outage server.Outage) {
	now := g.timer.Now()
	g.links.Broadcast(&encoder.Frame{Body: &encoder.Frame_VersionAnnouncement{VersionAnnouncement: &encoder.VersionAnnouncement{
		Outage: &encoder.StoreOutage{BeginAgeMs: encodeAge(now.Sub(outage.Begin)), EndAgeMs: encodeAge(now.Sub(outage.End))},
	}}})
}

// HandleAnnouncement handles another instance's announcement.
func (g *Gossiper) HandleAnnouncement(from string, announcement *encoder.VersionAnnouncement) {
	if outage := announcement.GetOutage(); outage != nil {
		now := g.timer.Now()
		g.tables.RecordOutage(server.Outage{Begin: now.Add(-decodeAge(outage.GetBeginAgeMs())), End: now.Add(-decodeAge(outage.GetEndAgeMs()))})
	}
	for _, change := range announcement.GetTables() {
		if announcement.GetIsLeader() {
			g.recordLeader(from, change)
		}
		g.handleTableVersion(from, change)
	}
}

// handleTableVersion applies the rows that were announced with a version and, if some
// are missing, schedules a fetch of the whole table. Before the table was first read
// here it only records the announcement.
func (g *Gossiper) handleTableVersion(from string, change *encoder.TableVersion) {
	name, version := change.GetTable(), change.GetVersion()
	t := g.topics[name]
	knownVersion := g.tables.Version(name)
	if t == nil || !g.recordAnnouncer(t, from, version) || knownVersion == 0 || knownVersion >= version {
		return
	}
	if change.GetBaseVersion() < version && !server.IsEarlierEra(knownVersion, version) {
		upToVersion := knownVersion
		if change.GetBaseVersion() <= knownVersion {
			upToVersion = version
		}
		rows, err := decodeRows(change.GetRows())
		if err != nil {
			g.log.Info("changes of another instance cannot be read", "table", name, "from", from, "version", version, "cause", err.Error())
			return
		}
		g.log.Info("changes received from another instance", "table", name, "from", from, "rows", len(change.GetRows()), "version", upToVersion)
		g.tables.ApplyChanges(name, rows, upToVersion, g.recoveryTime(change.GetStoreRecoveryAgeMs()))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.isFetching && g.tables.Version(name) < t.receivedVersion {
		t.isFetching = true
		delay := fetchDelay
		if g.hasLeader(t) {
			// While leaders watch the table the store sends this instance nothing.
			delay = rand.N(maxFetchJitter)
		}
		g.timer.After(delay, func(time.Time) { go g.spawn(func() { g.catchUp(name, t) }) })
	}
}

// recordAnnouncer records which instance announced a version. It returns false
// if a newer version has already been announced.
func (g *Gossiper) recordAnnouncer(t *topic, from string, version uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.announcedVersions[from] = version
	switch {
	case version < t.receivedVersion:
		return false
	case version > t.receivedVersion:
		t.receivedVersion, t.announcers = version, nil
	}
	if !slices.Contains(t.announcers, from) {
		t.announcers = append(t.announcers, from)
	}
	return true
}

// HandleRowsRequest returns the response to a request for a table as this instance knows it:
// the changes after the version that the sender knows, or all rows if some of the changes may
// not be known here.
func (g *Gossiper) HandleRowsRequest(request *encoder.RowsRequest) *encoder.Frame {
	name, after := request.GetTable(), request.GetAfter()
	rows, version, ok := g.tables.Rows(name)
	response := &encoder.RowsResponse{Version: version, Available: ok, StoreRecoveryAgeMs: g.recoveryAge(name)}
	if loaded := g.tables.LoadedVersion(name); ok && after >= loaded && loaded > 0 && after <= version && !server.IsEarlierEra(loaded, version) {
		response.BaseVersion = after
		rows = g.tables.ChangesSince(name, after)
	}
	for _, row := range rows {
		if request.GetAcceptsCompressed() {
			response.Rows = append(response.Rows, g.compressor.encodeRow(name, &row))
		} else {
			response.Rows = append(response.Rows, encodeRow(row))
		}
	}
	return &encoder.Frame{Body: &encoder.Frame_RowsResponse{RowsResponse: response}}
}

// recoveryAge returns the age of the time that RecoveredAt returns for a table, as messages
// state it.
func (g *Gossiper) recoveryAge(name string) uint32 {
	age := g.timer.Now().Sub(g.tables.RecoveredAt(name))
	if age >= recoveryMaxAge {
		return 0
	}
	return encodeAge(age)
}

// recoveryTime returns the time that an age in a message states; zero for none.
func (g *Gossiper) recoveryTime(age uint32) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return g.timer.Now().Add(-decodeAge(age))
}

// encodeAge returns an age as messages state it: one more than its milliseconds, so that zero
// means none.
func encodeAge(age time.Duration) uint32 { return uint32(max(age, 0).Milliseconds()) + 1 }

// decodeAge returns an age that a message states; zero for none.
func decodeAge(age uint32) time.Duration {
	return time.Duration(max(age, 1)-1) * time.Millisecond
}

func encodeRow(row server.StoredRow) *encoder.StoreRow {
	return &encoder.StoreRow{Name: row.Name, Value: row.Value, Version: row.Version, Deleted: row.IsDeleted}
}

// decodeRows returns the rows of a message, or ErrInvalid if a compressed value cannot be read.
func decodeRows(list []*encoder.StoreRow) ([]server.StoredRow, error) {
	rows := make([]server.StoredRow, 0, len(list))
	for _, row := range list {
		value := row.GetValue()
		if compressed := row.GetCompressedValue(); len(compressed) > 0 {
			var err error
			if value, err = inflate(compressed); err != nil {
				return nil, err
			}
		}
		rows = append(rows, server.StoredRow{Name: row.GetName(), Value: value, Version: row.GetVersion(), IsDeleted: row.GetDeleted()})
	}
	return rows, nil
}
