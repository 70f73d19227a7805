package standin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/time/rate"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
)

// Default rate limits of the platform.
const (
	// DefaultWriteRate is the number of writes a second: transactions and stored objects.
	DefaultWriteRate = 300
	// DefaultReadRate is the number of reads a second: of rows, scans and objects.
	DefaultReadRate = 2000
)

// Platform is the whole platform: a transactional table with row versions and rate
// limits, an object store and the instance list. It is safe for concurrent use.
type Platform struct {
	mu           sync.Mutex
	rows         map[string]map[string]server.Row
	objects      map[string][]byte
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	commits      int
	list         *InstanceList
}

// NewPlatform returns an empty platform that accepts writeRate writes and readRate reads a
// second. With a nil list it serves no instance list.
func NewPlatform(writeRate, readRate float64, list *InstanceList) *Platform {
	return &Platform{
		rows:         make(map[string]map[string]server.Row),
		objects:      make(map[string][]byte),
		writeLimiter: rate.NewLimiter(rate.Limit(writeRate), int(writeRate)),
		readLimiter:  rate.NewLimiter(rate.Limit(readRate), int(readRate)),
		list:         list,
	}
}

// CommitCount returns the number of transactions that were applied.
func (p *Platform) CommitCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.commits
}

// Handler returns the handler of the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messenger.PathCommit, p.rateLimited(p.writeLimiter, p.handleCommit))
	mux.HandleFunc("GET "+messenger.PathRows+"{table}/{row}", p.rateLimited(p.readLimiter, p.handleGet))
	mux.HandleFunc("GET "+messenger.PathRows+"{table}", p.rateLimited(p.readLimiter, p.handleScan))
	mux.HandleFunc("PUT "+messenger.PathObjects+"{name}", p.rateLimited(p.writeLimiter, p.handlePutObject))
	mux.HandleFunc("GET "+messenger.PathObjects+"{name}", p.rateLimited(p.readLimiter, p.handleGetObject))
	if p.list != nil {
		mux.Handle(messenger.PathInstances, p.list)
	}
	return mux
}

// rateLimited returns a handler that calls next, and responds with 429 to requests over
// the limiter's rate.
func (p *Platform) rateLimited(limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !limiter.Allow() {
			http.Error(w, "rate", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (p *Platform) handleCommit(w http.ResponseWriter, r *http.Request) {
	var request messenger.CommitRequest
	if !readJSON(w, r, &request) {
		return
	}
	versions, conflict := p.Commit(request.Writes)
	if conflict != nil {
		writeJSON(w, http.StatusConflict, messenger.CommitAnswer{ConflictKey: conflict})
		return
	}
	writeJSON(w, http.StatusOK, messenger.CommitAnswer{Versions: versions})
}

// Commit commits one transaction and returns the rows' new versions. If a row does not
// have the expected version, it changes nothing and returns the row's key.
func (p *Platform) Commit(writes []server.Write) ([]uint64, *server.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, write := range writes {
		if !write.Unconditional && p.rows[write.Table][write.Row].Version != write.ExpectedVersion {
			return nil, &write.Key
		}
	}
	p.commits++
	versions := make([]uint64, 0, len(writes))
	for _, write := range writes {
		versions = append(versions, p.applyWrite(write))
	}
	return versions, nil
}

// applyWrite applies one write and returns the row's new version, which is zero for a
// deleted row. The caller holds mu.
func (p *Platform) applyWrite(write server.Write) uint64 {
	rows := p.rows[write.Table]
	if rows == nil {
		rows = make(map[string]server.Row)
		p.rows[write.Table] = rows
	}
	if write.Delete {
		delete(rows, write.Row)
		return 0
	}
	version := rows[write.Row].Version + 1
	rows[write.Row] = server.Row{Key: write.Key, Version: version, Value: write.Value}
	return version
}

func (p *Platform) handleGet(w http.ResponseWriter, r *http.Request) {
	row, ok := p.Row(server.Key{Table: r.PathValue("table"), Row: r.PathValue("row")})
	if !ok {
		http.Error(w, "no row", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

// Row returns the row with the given key, and whether it exists.
func (p *Platform) Row(key server.Key) (server.Row, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[key.Table][key.Row]
	return row, ok
}

func (p *Platform) handleScan(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		http.Error(w, "limit", http.StatusBadRequest)
		return
	}
	rows := p.Rows(r.PathValue("table"), r.URL.Query().Get("after"), limit)
	writeJSON(w, http.StatusOK, messenger.RowsAnswer{Rows: rows})
}

// Rows returns up to limit rows of a table whose keys are greater than after, in
// order of their keys.
func (p *Platform) Rows(table, after string, limit int) []server.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []server.Row
	for key, row := range p.rows[table] {
		if key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b server.Row) int { return strings.Compare(a.Row, b.Row) })
	return rows[:min(limit, len(rows))]
}

func (p *Platform) handlePutObject(w http.ResponseWriter, r *http.Request) {
	data, ok := readAll(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	p.objects[r.PathValue("name")] = data
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) handleGetObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}
