package messenger

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Sizes of cached blocks.
const (
	// BlockBytes is the number of bytes of prompt text in one cached block.
	BlockBytes = 64
	// TokenBytes is the number of bytes of prompt text that count as one token.
	TokenBytes = 4
	// BlockTokens is the number of prompt tokens in one cached block.
	BlockTokens = BlockBytes / TokenBytes
)

// CountTokens returns the number of prompt tokens in a text, at TokenBytes each; a partial
// token at the end counts as one.
func CountTokens(prompt string) int {
	return (len(prompt) + TokenBytes - 1) / TokenBytes
}

// AppendBlockHashes appends the hashes of the prompt's complete blocks to blocks. Each hash
// covers the salt and all text up to the end of its block, so equal hashes mean equal
// prompt prefixes of the same workspace.
func AppendBlockHashes(blocks []uint64, salt, prompt string) []uint64 {
	hash := xxhash.Sum64String(salt)
	var previous [8]byte
	var digest xxhash.Digest
	for len(prompt) >= BlockBytes {
		binary.LittleEndian.PutUint64(previous[:], hash)
		digest.Reset()
		// Writing to a digest never fails.
		_, _ = digest.Write(previous[:])
		_, _ = digest.WriteString(prompt[:BlockBytes])
		hash = digest.Sum64()
		blocks = append(blocks, hash)
		prompt = prompt[BlockBytes:]
	}
	return blocks
}
