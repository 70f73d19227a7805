package server

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// contentKeyBytes is the number of bytes of a digest that a content key has. Clients choose what
// their requests hold, so it must be too long for them to find two with one key.
const contentKeyBytes = 16

// RequestContent is what requests that crash replicas are recognized by.
type RequestContent struct {
	// Keys are equal for requests of one caller that ask the same; see ContentKey. The first one
	// differs for most others.
	Keys []string
	// Parts are the IDs of the parts of the prompt that other requests may have too.
	Parts []string
}

// ContentKey returns the key of a request that consists of the fields.
func ContentKey(fields ...string) string {
	bytes := make([][]byte, len(fields))
	for i, field := range fields {
		bytes[i] = []byte(field)
	}
	return ContentKeyOfBytes(bytes...)
}

// ContentKeyOfBytes is ContentKey for fields that may be large, such as a body, and are not copied.
func ContentKeyOfBytes(fields ...[]byte) string {
	digest := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(field)
	}
	return ContentKeyPrefix + hex.EncodeToString(digest.Sum(nil)[:contentKeyBytes])
}

// ContentKeyPrefix begins each content key.
const ContentKeyPrefix = "request:"
