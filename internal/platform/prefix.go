package platform

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of the prompt text in one cache block.
const PrefixBlockBytes = 64

// BlockHash is the hash of a prompt block and all text before it.
type BlockHash uint64

// PrefixBlocks returns the hashes of the complete blocks of a prompt. Two prompts have the
// same first n hashes if their first n blocks are equal.
func PrefixBlocks(prompt string) []BlockHash {
	blocks := make([]BlockHash, 0, len(prompt)/PrefixBlockBytes)
	var buffer [8 + PrefixBlockBytes]byte
	for len(prompt) >= PrefixBlockBytes {
		copy(buffer[8:], prompt[:PrefixBlockBytes])
		hash := xxhash.Sum64(buffer[:])
		binary.LittleEndian.PutUint64(buffer[:8], hash)
		blocks = append(blocks, BlockHash(hash))
		prompt = prompt[PrefixBlockBytes:]
	}
	return blocks
}
