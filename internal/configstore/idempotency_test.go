package configstore

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"testing"

	"saltreel/internal/chain"
	"saltreel/internal/placement"
)

// blockOf returns a block with the given number of hashes.
func blockOf(number uint64, hashes int) []byte {
	return append(binary.BigEndian.AppendUint64(nil, number), make([]byte, hashes*hashSize)...)
}

func TestRecordsWrapAroundTheRingOfBlocks(t *testing.T) {
	hash := bytes.Repeat([]byte{7}, hashSize)
	for name, c := range map[string]struct {
		docs   chain.Documents
		key    string
		number uint64
		hashes int
	}{
		"first":             {chain.Documents{}, "taken/00", 0, 1},
		"block with room":   {chain.Documents{"taken/03": blockOf(3, 5), "taken/02": blockOf(2, hashesPerBlock)}, "taken/03", 3, 6},
		"full block":        {chain.Documents{"taken/03": blockOf(3, hashesPerBlock)}, "taken/04", 4, 1},
		"end of the ring":   {chain.Documents{"taken/15": blockOf(15, hashesPerBlock), "taken/00": blockOf(0, hashesPerBlock)}, "taken/00", 16, 1},
		"after wrap-around": {chain.Documents{"taken/15": blockOf(15, hashesPerBlock), "taken/00": blockOf(16, 2)}, "taken/00", 16, 3},
		"truncated block":   {chain.Documents{"taken/09": []byte("short")}, "taken/00", 0, 1},
	} {
		key, block := appendRecord(c.docs, hash)
		if key != c.key || binary.BigEndian.Uint64(block) != c.number || len(block) != blockHeaderSize+c.hashes*hashSize {
			t.Errorf("%s: %s, number %d, %d bytes", name, key, binary.BigEndian.Uint64(block), len(block))
		}
		if !isRecorded(chain.Documents{key: block}, hash) || isRecorded(c.docs, hash) {
			t.Errorf("%s: the hash is not recorded, or was recorded before", name)
		}
	}
}

func TestPlacementCacheFollowsChanges(t *testing.T) {
	var cache placementCache
	if p, err := cache.decode(nil); err != nil || p.Version != 0 {
		t.Errorf("nil document: %+v, %v", p, err)
	}
	for _, v := range []int64{1, 1, 2, 1} {
		raw, _ := json.Marshal(placement.Placement{Version: v})
		if p, err := cache.decode(raw); err != nil || p.Version != v {
			t.Errorf("placement %d: %+v, %v", v, p, err)
		}
	}
	if _, err := cache.decode([]byte("{")); err == nil {
		t.Error("an invalid placement was decoded without an error")
	}
}

func TestProposeWireFormat(t *testing.T) {
	for want, value := range map[string]any{
		`{"configuration":"e30=","match":4}`:                 Proposal{Configuration: []byte("{}"), BaseRevision: 4},
		`{"retire":"store-1"}`:                               Proposal{Retire: "store-1"},
		`{"refusal":{"code":412,"text":"another revision"}}`: ProposeResponse{&RejectedError{412, "another revision"}},
		`{"documents":{"configuration":"e30="}}`:             State{chain.Documents{KeyConfiguration: []byte("{}")}},
	} {
		if raw, err := json.Marshal(value); err != nil || string(raw) != want {
			t.Errorf("got %s, want %s: %v", raw, want, err)
		}
	}
}
