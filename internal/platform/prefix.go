package platform

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of prompt text that one cache block covers.
const PrefixBlockBytes = 64

// BlockHash identifies a block of a prompt together with all text before it.
type BlockHash uint64

// PrefixBlocks returns the hashes of the whole blocks of a prompt. Two prompts share
// the first n hashes if they share the first n blocks.
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
