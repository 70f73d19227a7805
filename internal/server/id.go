package server

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/ansel1/merry/v2"
)

const idBytes = 16

// ID identifies a request, a stage attempt or a change. It consists of 128 random bits.
type ID [idBytes]byte

// NewID returns a new random ID.
func NewID() ID {
	var id ID
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return id
}

// ParseID parses the hexadecimal form that String returns.
func ParseID(text string) (ID, error) {
	var id ID
	raw, err := hex.DecodeString(text)
	if err != nil {
		return id, merry.Prepend(err, "parsing the ID")
	}
	if len(raw) != idBytes {
		return id, merry.Errorf("parsing the ID: want %d bytes, got %d", idBytes, len(raw))
	}
	copy(id[:], raw)
	return id, nil
}

// String returns the ID as 32 hexadecimal digits.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// IsZero reports whether the ID is unset.
func (id ID) IsZero() bool {
	return id == ID{}
}
