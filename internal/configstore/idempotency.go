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

// Idempotency records are hashes of the accepted configurations and patches, by which
// one that is sent again is recognized and acknowledged. The hashes are stored in a ring of
// blocks, each of which is a document: a change writes one block, and the state does
// not grow with the number of changes. A block begins with its number, which keeps
// increasing when the ring wraps around.
const (
	recordBlocks    = 16
	hashesPerBlock  = 128
	hashSize        = 16 // stored bytes of a SHA-256
	blockHeaderSize = 8  // the number of the block, big-endian
)

// keyRecords is the prefix of the keys of the blocks. Earlier versions stored a list
// of hashes under the key itself, which is still read but no longer written.
const keyRecords = "taken"

func blockKey(number uint64) string {
	return fmt.Sprintf("%s/%02d", keyRecords, number%recordBlocks)
}

func hashOf(content []byte) []byte {
	sum := sha256.Sum256(content)
	return sum[:hashSize]
}

// isRecorded reports whether a configuration or patch with this hash was accepted before.
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

// appendRecord appends a hash to the newest block, or to a new block that replaces the
// oldest one if the newest is full. It returns the document to write.
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

// newestBlock returns the block with the highest number, nil if there is none.
func newestBlock(docs chain.Documents) (number uint64, block []byte) {
	for n := range uint64(recordBlocks) {
		raw := docs[blockKey(n)]
		if len(raw) < blockHeaderSize {
			continue
		}
		if rawNumber := binary.BigEndian.Uint64(raw); block == nil || rawNumber > number {
			number = rawNumber
			block = raw
		}
	}
	return number, block
}

// withoutRecords returns the documents without the idempotency records.
func withoutRecords(docs chain.Documents) chain.Documents {
	out := maps.Clone(docs)
	maps.DeleteFunc(out, func(key string, _ []byte) bool { return strings.HasPrefix(key, keyRecords) })
	return out
}
