package registrar

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// table is this instance's copy of one table of the store. Rows and tombstones carry
// the store's version, so that changes may be applied in any order and from any source.
type table struct {
	rows map[string]server.StoredRow
	// tombstones holds the versions of deleted rows by name.
	tombstones map[string]uint64
	// version is the store's version that the table is known up to.
	version uint64
	// isLoaded is set once the whole table was read, as of loadedVersion. Rows that were
	// deleted before have no tombstones.
	isLoaded      bool
	loadedVersion uint64
	// recoveredAt belongs to the newest changes; see Registrar.ApplyChanges.
	recoveredAt time.Time
	// hasUnseen is set when a row may have been written and deleted without being seen here.
	hasUnseen bool
	// unseenDeletions are the rows that were deleted, by the newest changes, and not known here.
	unseenDeletions []server.StoredRow
}

func newTable() *table {
	return &table{rows: make(map[string]server.StoredRow), tombstones: make(map[string]uint64)}
}

// merge applies a row that was written or deleted and reports whether the table
// changed. It ignores rows that are not newer than the known ones.
func (t *table) merge(row server.StoredRow) bool {
	if current, ok := t.rows[row.Name]; ok && current.Version >= row.Version {
		return false
	}
	if t.tombstones[row.Name] >= row.Version && row.Version > 0 {
		return false
	}
	if row.IsDeleted {
		_, exists := t.rows[row.Name]
		if !exists {
			t.hasUnseen = true
			t.unseenDeletions = append(t.unseenDeletions, row)
		}
		delete(t.rows, row.Name)
		t.tombstones[row.Name] = row.Version
		return exists
	}
	t.rows[row.Name] = row
	delete(t.tombstones, row.Name)
	return true
}

// applyChanges applies the changes up to version and returns the names of the rows
// that changed.
func (t *table) applyChanges(rows []server.StoredRow, version uint64) []string {
	var changedNames []string
	for _, row := range rows {
		if t.merge(row) {
			changedNames = append(changedNames, row.Name)
		}
	}
	t.version = max(t.version, version)
	return changedNames
}

// replace applies the whole table as of version and returns the names of the rows that
// changed. Known rows that are missing from it are deleted unless they are newer.
func (t *table) replace(rows []server.StoredRow, version uint64) []string {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Name] = true
	}
	for name, row := range t.rows {
		if !present[name] && row.Version <= version {
			rows = append(rows, server.StoredRow{Name: name, Version: max(version, row.Version+1), IsDeleted: true})
		}
	}
	if !t.isLoaded {
		t.isLoaded, t.loadedVersion = true, version
	} else if version > t.version {
		t.hasUnseen = true // rows may have come and gone between the two versions
	}
	return t.applyChanges(rows, version)
}

// list returns all rows in no particular order.
func (t *table) list() []server.StoredRow {
	rows := make([]server.StoredRow, 0, len(t.rows))
	for _, row := range t.rows {
		rows = append(rows, row)
	}
	return rows
}

// since returns the rows that were written or deleted after a version.
func (t *table) since(after uint64) []server.StoredRow {
	var rows []server.StoredRow
	for _, row := range t.rows {
		if row.Version > after {
			rows = append(rows, row)
		}
	}
	for name, version := range t.tombstones {
		if version > after {
			rows = append(rows, server.StoredRow{Name: name, Version: version, IsDeleted: true})
		}
	}
	return rows
}
