package gossiper

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// minCompressedBytes is the size of a value from which it is compressed: about three packets.
	minCompressedBytes = 4 << 10
	// maxValueBytes bounds a value that was compressed, as frames bound the others.
	maxValueBytes = 8 << 20
	// maxCompressedValues bounds the number of values that are kept compressed.
	maxCompressedValues = 16
)

// compressor keeps the last large value of each row compressed, since many instances request it at once. It is safe for
// concurrent use.
type compressor struct {
	mu     sync.Mutex
	values map[rowName]compressedValue
}

type rowName struct{ table, row string }

// compressedValue is a value with its compressed form, which is nil if that is no shorter.
type compressedValue struct{ plain, compressed []byte }

func newCompressor() *compressor { return &compressor{values: make(map[rowName]compressedValue)} }

// compress returns the compressed form of a row's value, or nil for a value that is short or does not get shorter. Values
// are compared, since a restored store gives out versions again.
func (c *compressor) compress(table string, row *server.StoredRow) []byte {
	if len(row.Value) < minCompressedBytes || row.IsDeleted {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	name := rowName{table, row.Name}
	if known, ok := c.values[name]; ok && bytes.Equal(known.plain, row.Value) {
		return known.compressed
	}
	if len(c.values) >= maxCompressedValues {
		clear(c.values)
	}
	value := compressedValue{plain: row.Value}
	if data, err := deflate(row.Value); err == nil && len(data) < len(row.Value) {
		value.compressed = data
	}
	c.values[name] = value
	return value.compressed
}

// encodeRow returns a row as it is sent to an instance that reads compressed values.
func (c *compressor) encodeRow(table string, row *server.StoredRow) *encoder.StoreRow {
	encoded := encodeRow(*row)
	if compressed := c.compress(table, row); compressed != nil {
		encoded.Value, encoded.CompressedValue = nil, compressed
	}
	return encoded
}

func deflate(value []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if _, err := writer.Write(value); err != nil {
		return nil, merry.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, merry.Wrap(err)
	}
	return buffer.Bytes(), nil
}

// inflate returns the value that was compressed, of at most maxValueBytes.
func inflate(compressed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxValueBytes+1))
	if err != nil {
		return nil, merry.Prependf(server.ErrInvalid, "compressed value of %d bytes: %v", len(compressed), err)
	}
	if len(value) > maxValueBytes {
		return nil, merry.Prependf(server.ErrInvalid, "compressed value of %d bytes is longer than %d", len(compressed), maxValueBytes)
	}
	return value, nil
}
