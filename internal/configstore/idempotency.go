package configstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"saltreel/internal/chain"
)

// Idempotency records: the configurations that were accepted are known by their
// hashes, so that one that is sent again is acknowledged again. The hashes lie
// in a ring of blocks, each a document of its own: a change writes one block,
// and the state does not grow with the number of changes. A block begins with
// its number, which counts on over the ring.
const (
	recordBlocks    = 16
	hashesPerBlock  = 128
	hashSize        = 16 // bytes of a SHA-256 that are stored
	blockHeaderSize = 8  // the number of the block, big-endian
)

// keyRecords is the prefix of the keys of the blocks. Under the key itself
// earlier versions stored a list of hashes: it is read, and written no more.
const keyRecords = "taken"

func blockKey(number uint64) string {
	return fmt.Sprintf("%s/%02d", keyRecords, number%recordBlocks)
}

func hashOf(configuration []byte) []byte {
	sum := sha256.Sum256(configuration)
	return sum[:hashSize]
}

// isRecorded says whether a configuration with this hash was accepted before.
func isRecorded(docs chain.Documents, hash []byte) bool {
	for n := range uint64(recordBlocks) {
		if blockContains(docs[blockKey(n)], hash) {
			return true
		}
	}
	var list []string
	_ = json.Unmarshal(docs[keyRecords], &list)
	return slices.ContainsFunc(list, func(h string) bool { return strings.HasPrefix(h, hex.EncodeToString(hash)) })
}

func blockContains(block, hash []byte) bool {
	if len(block) <= blockHeaderSize {
		return false
	}
	for h := range slices.Chunk(block[blockHeaderSize:], hashSize) {
		if bytes.Equal(h, hash) {
			return true
		}
	}
	return false
}

// appendRecord adds a hash to the newest block, or begins the next one, which
// replaces the oldest, and gives the document to write.
func appendRecord(docs chain.Documents, hash []byte) (key string, block []byte) {
	number, block := newestBlock(docs)
	if len(block) >= blockHeaderSize+hashesPerBlock*hashSize {
		number++
		block = nil
	}
	if block == nil {
		block = binary.BigEndian.AppendUint64(nil, number)
	}
	return blockKey(number), slices.Concat(block, hash)
}

// newestBlock is the block with the highest number; nil before the first.
func newestBlock(docs chain.Documents) (number uint64, block []byte) {
	for n := range uint64(recordBlocks) {
		raw := docs[blockKey(n)]
		if len(raw) < blockHeaderSize {
			continue
		}
		if at := binary.BigEndian.Uint64(raw); block == nil || at > number {
			number = at
			block = raw
		}
	}
	return number, block
}

// withoutRecords is the state as readers need it.
func withoutRecords(docs chain.Documents) chain.Documents {
	out := maps.Clone(docs)
	maps.DeleteFunc(out, func(key string, _ []byte) bool { return strings.HasPrefix(key, keyRecords) })
	return out
}
