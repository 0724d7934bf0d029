package controlplane

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

// The configurations that were taken are known by their hashes, so that one
// that is sent again is acknowledged again. The hashes lie in a ring of blocks,
// each a document of its own: a change writes one block, and the state does not
// grow with the number of changes. A block begins with its number, which counts
// on over the ring.
const (
	takenBlocks = 16
	takenHashes = 128 // in a block
	takenHash   = 16  // bytes of a hash that are kept
	takenHead   = 8   // bytes of the number in front
)

// docTakenList is the list of hashes as earlier versions kept it. It is read,
// and written no more.
const docTakenList = "taken"

func takenKey(number uint64) string { return fmt.Sprintf("taken/%02d", number%takenBlocks) }

func hashOf(order []byte) []byte {
	sum := sha256.Sum256(order)
	return sum[:takenHash]
}

// isTaken tells whether an order with this hash was taken.
func isTaken(docs chain.Documents, hash []byte) bool {
	for n := range uint64(takenBlocks) {
		if raw := docs[takenKey(n)]; len(raw) > takenHead {
			for h := range slices.Chunk(raw[takenHead:], takenHash) {
				if bytes.Equal(h, hash) {
					return true
				}
			}
		}
	}
	var list []string
	_ = json.Unmarshal(docs[docTakenList], &list)
	return slices.ContainsFunc(list, func(h string) bool { return strings.HasPrefix(h, hex.EncodeToString(hash)) })
}

// take adds a hash to the newest block, or begins the next one in place of the
// oldest, and gives what is to be written.
func take(docs chain.Documents, hash []byte) (key string, block []byte) {
	var number uint64
	for n := range uint64(takenBlocks) {
		if raw := docs[takenKey(n)]; len(raw) >= takenHead {
			if at := binary.BigEndian.Uint64(raw); block == nil || at > number {
				number, block = at, raw
			}
		}
	}
	if len(block) >= takenHead+takenHashes*takenHash {
		number, block = number+1, nil
	}
	if block == nil {
		block = binary.BigEndian.AppendUint64(nil, number)
	}
	return takenKey(number), slices.Concat(block, hash)
}

// withoutTaken is the state as readers need it.
func withoutTaken(docs chain.Documents) chain.Documents {
	out := maps.Clone(docs)
	maps.DeleteFunc(out, func(key string, _ []byte) bool { return strings.HasPrefix(key, docTakenList) })
	return out
}
