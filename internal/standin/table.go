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

// Table is the whole platform: a transactional table with row versions and rate
// limits, an object store and the instance list. It is safe for concurrent use.
type Table struct {
	mu           sync.Mutex
	rows         map[string]map[string]server.Row
	objects      map[string][]byte
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	commits      int
	list         *InstanceList
}

// NewTable returns an empty platform that accepts writeRate writes and readRate reads a
// second. With a nil list it serves no instance list.
func NewTable(writeRate, readRate float64, list *InstanceList) *Table {
	return &Table{
		rows:         make(map[string]map[string]server.Row),
		objects:      make(map[string][]byte),
		writeLimiter: rate.NewLimiter(rate.Limit(writeRate), int(writeRate)),
		readLimiter:  rate.NewLimiter(rate.Limit(readRate), int(readRate)),
		list:         list,
	}
}

// CommitCount returns the number of transactions that were applied.
func (t *Table) CommitCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Handler returns the handler of the platform's HTTP interface.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messenger.PathCommit, t.rateLimited(t.writeLimiter, t.handleCommit))
	mux.HandleFunc("GET "+messenger.PathRows+"{table}/{row}", t.rateLimited(t.readLimiter, t.handleGet))
	mux.HandleFunc("GET "+messenger.PathRows+"{table}", t.rateLimited(t.readLimiter, t.handleScan))
	mux.HandleFunc("PUT "+messenger.PathObjects+"{name}", t.rateLimited(t.writeLimiter, t.handlePutObject))
	mux.HandleFunc("GET "+messenger.PathObjects+"{name}", t.rateLimited(t.readLimiter, t.handleGetObject))
	if t.list != nil {
		mux.Handle(messenger.PathInstances, t.list)
	}
	return mux
}

// rateLimited returns a handler that calls next, and responds with 429 to requests over
// the limiter's rate.
func (t *Table) rateLimited(limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !limiter.Allow() {
			http.Error(w, "rate", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (t *Table) handleCommit(w http.ResponseWriter, r *http.Request) {
	var request messenger.CommitRequest
	if !readJSON(w, r, &request) {
		return
	}
	versions, conflict := t.Commit(request.Writes)
	if conflict != nil {
		writeJSON(w, http.StatusConflict, messenger.CommitAnswer{ConflictKey: conflict})
		return
	}
	writeJSON(w, http.StatusOK, messenger.CommitAnswer{Versions: versions})
}

// Commit commits one transaction and returns the rows' new versions. If a row does not
// have the expected version, it changes nothing and returns the row's key.
func (t *Table) Commit(writes []server.Write) ([]uint64, *server.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, write := range writes {
		if !write.Unconditional && t.rows[write.Table][write.Row].Version != write.ExpectedVersion {
			return nil, &write.Key
		}
	}
	t.commits++
	versions := make([]uint64, 0, len(writes))
	for _, write := range writes {
		versions = append(versions, t.applyWrite(write))
	}
	return versions, nil
}

// applyWrite applies one write and returns the row's new version, which is zero for a
// deleted row. The caller holds mu.
func (t *Table) applyWrite(write server.Write) uint64 {
	rows := t.rows[write.Table]
	if rows == nil {
		rows = make(map[string]server.Row)
		t.rows[write.Table] = rows
	}
	if write.Delete {
		delete(rows, write.Row)
		return 0
	}
	version := rows[write.Row].Version + 1
	rows[write.Row] = server.Row{Key: write.Key, Version: version, Value: write.Value}
	return version
}

func (t *Table) handleGet(w http.ResponseWriter, r *http.Request) {
	row, ok := t.Row(server.Key{Table: r.PathValue("table"), Row: r.PathValue("row")})
	if !ok {
		http.Error(w, "no row", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

// Row returns the row with the given key, and whether it exists.
func (t *Table) Row(key server.Key) (server.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key.Table][key.Row]
	return row, ok
}

func (t *Table) handleScan(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		http.Error(w, "limit", http.StatusBadRequest)
		return
	}
	rows := t.Rows(r.PathValue("table"), r.URL.Query().Get("after"), limit)
	writeJSON(w, http.StatusOK, messenger.RowsAnswer{Rows: rows})
}

// Rows returns up to limit rows of a table whose keys are greater than after, in
// order of their keys.
func (t *Table) Rows(table, after string, limit int) []server.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []server.Row
	for key, row := range t.rows[table] {
		if key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b server.Row) int { return strings.Compare(a.Row, b.Row) })
	return rows[:min(limit, len(rows))]
}

func (t *Table) handlePutObject(w http.ResponseWriter, r *http.Request) {
	data, ok := readAll(w, r)
	if !ok {
		return
	}
	t.mu.Lock()
	t.objects[r.PathValue("name")] = data
	t.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (t *Table) handleGetObject(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	data, ok := t.objects[r.PathValue("name")]
	t.mu.Unlock()
	if !ok {
		http.Error(w, "no object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}
