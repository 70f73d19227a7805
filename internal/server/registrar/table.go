package registrar

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// table is what is known of one table of the store. Rows and tombstones carry
// the store's version, so that news may come in any order and from anyone.
type table struct {
	rows    map[string]server.StoredRow
	dropped map[string]uint64
	// version is the newest moment of the store of which all is known.
	version uint64
	read    bool
}

func newTable() *table {
	return &table{rows: make(map[string]server.StoredRow), dropped: make(map[string]uint64)}
}

// put takes one row and reports whether it is news.
func (t *table) put(row server.StoredRow) bool {
	if known, ok := t.rows[row.Name]; ok && known.Version >= row.Version {
		return false
	}
	if t.dropped[row.Name] >= row.Version && row.Version > 0 {
		return false
	}
	if row.Removed {
		_, held := t.rows[row.Name]
		delete(t.rows, row.Name)
		t.dropped[row.Name] = row.Version
		return held
	}
	t.rows[row.Name] = row
	delete(t.dropped, row.Name)
	return true
}

// follow takes the changes up to version and returns the names that are news.
func (t *table) follow(rows []server.StoredRow, version uint64) []string {
	var news []string
	for _, row := range rows {
		if t.put(row) {
			news = append(news, row.Name)
		}
	}
	t.version = max(t.version, version)
	return news
}

// replace takes the whole table as of version: rows that it lacks and that are
// not newer were removed.
func (t *table) replace(rows []server.StoredRow, version uint64) []string {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Name] = true
	}
	for name, row := range t.rows {
		if !present[name] && row.Version <= version {
			rows = append(rows, server.StoredRow{Name: name, Version: max(version, row.Version+1), Removed: true})
		}
	}
	t.read = true
	return t.follow(rows, version)
}

// all returns the rows.
func (t *table) all() []server.StoredRow {
	rows := make([]server.StoredRow, 0, len(t.rows))
	for _, row := range t.rows {
		rows = append(rows, row)
	}
	return rows
}

// since returns the rows that were written or removed after a version.
func (t *table) since(after uint64) []server.StoredRow {
	var rows []server.StoredRow
	for _, row := range t.rows {
		if row.Version > after {
			rows = append(rows, row)
		}
	}
	for name, version := range t.dropped {
		if version > after {
			rows = append(rows, server.StoredRow{Name: name, Version: version, Removed: true})
		}
	}
	return rows
}

// departure is a replica whose row was removed.
type departure struct {
	replica server.Replica
	// at is when it is taken as gone.
	at time.Time
}
