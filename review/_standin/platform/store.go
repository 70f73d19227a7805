package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: rows with versions, and a feed of changes.
// It answers each call, and loses nothing.
type store struct {
	listener net.Listener
	mu       sync.Mutex
	version  uint64
	rows     map[string]map[string]storeRow
	history  []storeRow
	changed  chan struct{}
	started  time.Time
	// downUntil is the end of an outage in which the store answers no call, and accepts none.
	downUntil time.Time
}

// setDown has the store answer nothing for a time.
func (s *store) setDown(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(duration)
	// Feeds that wait notice the outage.
	close(s.changed)
	s.changed = make(chan struct{})
}

// isDown reports whether the store answers nothing now.
func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

// hangWhileDown keeps a call without an answer while the store is down, and then breaks its
// connection off, so that nothing was done. It reports whether it did.
func (s *store) hangWhileDown(r *http.Request) bool {
	if !s.isDown() {
		return false
	}
	s.mu.Lock()
	left := time.Until(s.downUntil)
	s.mu.Unlock()
	select {
	case <-time.After(left):
	case <-r.Context().Done():
	}
	return true
}

type storeRow struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte
	Ver     uint64
	Removed bool `json:",omitempty"`
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, rows: make(map[string]map[string]storeRow), changed: make(chan struct{}), started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.commit)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.hangWhileDown(r) {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(listener, handler) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row as the operator or a replica does; a nil value deletes it. It writes nothing while
// the store is down.
func (s *store) put(table, key string, value any) {
	if s.isDown() {
		return
	}
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Value: data, Ver: s.version, Removed: value == nil})
}

// apply writes or deletes a row. The caller holds mu.
func (s *store) apply(row storeRow) {
	if s.rows[row.Table] == nil {
		s.rows[row.Table] = make(map[string]storeRow)
	}
	if s.rows[row.Table][row.Key] = row; row.Removed {
		delete(s.rows[row.Table], row.Key)
	}
	s.history = append(s.history, row)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	from := r.FormValue("From")
	for _, row := range s.rows[r.FormValue("Table")] {
		if row.Key >= from {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, map[string]any{"Rows": rows, "Truncated": false, "Ver": s.version, "NowMs": s.nowMs()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("After"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.history {
			if row.Table == r.FormValue("Table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"Rows": rows, "Ver": version, "NowMs": s.nowMs()})
			return
		}
		select {
		case <-changed:
			if s.hangWhileDown(r) {
				panic(http.ErrAbortHandler)
			}
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"Rows": rows, "Ver": version, "NowMs": s.nowMs()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct{ ExpectRev, Puts, Remove []storeRow }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"Error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []storeRow{}
	isMet := true
	for _, expected := range tx.ExpectRev {
		row, ok := s.rows[expected.Table][expected.Key]
		if ok {
			current = append(current, row)
		}
		isMet = isMet && row.Ver == expected.Ver
	}
	if !isMet {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"Rows": current, "Ver": s.version, "NowMs": s.nowMs()})
		return
	}
	s.version++
	for _, row := range tx.Puts {
		s.apply(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Value: row.Value, Ver: s.version})
	}
	for _, row := range tx.Remove {
		s.apply(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Ver: s.version, Removed: true})
	}
	writeJSON(w, http.StatusOK, map[string]any{"Ver": s.version, "NowMs": s.nowMs()})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(fmt.Sprintf("%q", err.Error()))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
