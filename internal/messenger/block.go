package messenger

import (
	"encoding/binary"
	"strconv"

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

const (
	// allSharedBlocks is the number of blocks from the start of a prompt that SharedParts
	// returns all of. Of those after them it returns each sharedBlockStep-th one, up to
	// maxSharedBlocks.
	allSharedBlocks = 32
	sharedBlockStep = 8
	maxSharedBlocks = 1024
)

// SharedParts returns the names of parts of a prompt that other requests may have too: prefixes
// by the hashes of their last blocks. The last block of the prompt belongs to its request.
func SharedParts(blocks []uint64) []string {
	var parts []string
	for i := range min(len(blocks)-1, maxSharedBlocks) {
		if i < allSharedBlocks || i%sharedBlockStep == 0 {
			parts = append(parts, strconv.FormatUint(blocks[i], 16))
		}
	}
	return parts
}
