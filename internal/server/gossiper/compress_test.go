package gossiper

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

func TestLargeValuesAreCompressed(t *testing.T) {
	is := is.New(t)
	c := newCompressor()
	large := server.StoredRow{Name: "a", Value: bytes.Repeat([]byte("route "), 10_000), Version: 3}
	short := server.StoredRow{Name: "b", Value: []byte("x"), Version: 4}
	deleted := server.StoredRow{Name: "c", Version: 5, IsDeleted: true}
	var encoded []*encoder.StoreRow
	for _, row := range []server.StoredRow{large, short, deleted} {
		encoded = append(encoded, c.encodeRow("t", &row))
	}
	is.True(len(encoded[0].GetValue()) == 0 && len(encoded[0].GetCompressedValue()) < len(large.Value)/10)
	rows, err := decodeRows(encoded)
	is.NoErr(err)
	is.Equal(rows, []server.StoredRow{large, short, deleted})
}

// TestRestoredValueIsNotTakenForTheFormerOne guards against a store that gives out a version again, for another value.
func TestRestoredValueIsNotTakenForTheFormerOne(t *testing.T) {
	is := is.New(t)
	c := newCompressor()
	for _, text := range []string{"first ", "other "} {
		row := server.StoredRow{Name: "a", Value: bytes.Repeat([]byte(text), 1000), Version: 7}
		rows, err := decodeRows([]*encoder.StoreRow{c.encodeRow("t", &row)})
		is.NoErr(err)
		is.Equal(rows, []server.StoredRow{row})
	}
}

// TestCompressedValuesAreBounded guards against an instance that sends a value which is short while it is compressed and uses
// up the memory when it is read, and against one that is cut or is none.
func TestCompressedValuesAreBounded(t *testing.T) {
	bomb, err := deflate(make([]byte, maxValueBytes+1))
	is.New(t).NoErr(err)
	valid, err := deflate([]byte("value"))
	is.New(t).NoErr(err)
	for name, compressed := range map[string][]byte{"too long": bomb, "cut": valid[:len(valid)-2], "none": []byte("\xff\xff")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := decodeRows([]*encoder.StoreRow{{Name: "a", CompressedValue: compressed}})
			is.True(errors.Is(err, server.ErrInvalid))
		})
	}
}

// TestValuesAreSentPlainToBuildsBefore guards against instances of the build before, which do not read compressed values and
// would take a plan for an empty one.
func TestValuesAreSentPlainToBuildsBefore(t *testing.T) {
	is := is.New(t)
	value := bytes.Repeat([]byte("route "), 10_000)
	g := &Gossiper{tables: oneRowTables{value: value}, compressor: newCompressor(), timer: ticker.NewVirtual(time.Unix(0, 0))}
	for _, accepts := range []bool{false, true} {
		rows := g.HandleRowsRequest(&encoder.RowsRequest{Table: "t", AcceptsCompressed: accepts}).GetRowsResponse().GetRows()
		is.Equal(bytes.Equal(rows[0].GetValue(), value), !accepts)
		is.Equal(len(rows[0].GetCompressedValue()) > 0, accepts)
	}
}

// oneRowTables are tables of one row that was read at version 1.
type oneRowTables struct {
	Tables
	value []byte
}

func (t oneRowTables) Rows(string) ([]server.StoredRow, uint64, bool) {
	return []server.StoredRow{{Name: "a", Value: t.value, Version: 1}}, 1, true
}
func (oneRowTables) LoadedVersion(string) uint64  { return 0 }
func (oneRowTables) RecoveredAt(string) time.Time { return time.Time{} }
