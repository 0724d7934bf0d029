package registry

import (
	"encoding/json"
	"testing"

	"saltreel/internal/chain"
)

// Cores of different versions run side by side during an upgrade, so the names on the
// wire must not change.
func TestSyncWireFormat(t *testing.T) {
	epoch := int64(7)
	for name, c := range map[string]struct {
		value any
		want  string
	}{
		"entry": {Entry{Key: "instance/i", Version: version(3, 1), AgeMs: 5, Value: json.RawMessage(`{"a":1}`), Changed: version(2, 0)},
			`{"key":"instance/i","version":{"major":3,"minor":1},"age":5,"value":{"a":1},"changed":{"major":2}}`},
		"request": {SyncRequest{From: "a", Entries: []Entry{{Key: "k"}}, Want: WantTombstones, PersistForEpoch: &epoch},
			`{"from":"a","items":[{"key":"k","version":{"major":0},"age":0,"changed":{"major":0}}],"ask":"leavings","keep":7}`},
		"request for all": {SyncRequest{From: "a", Want: WantAll, View: &chain.View{}},
			`{"from":"a","ask":"all","view":{"number":0,"members":null,"voters":null}}`},
		"request for a page": {SyncRequest{From: "a", Want: WantPage, After: "k"},
			`{"from":"a","ask":"page","after":"k"}`},
		"response with a page": {SyncResponse{Disk: "d", Loaded: true, More: true},
			`{"disk":"d","loaded":true,"more":true}`},
		"response": {SyncResponse{Disk: "d", MissingValues: []string{"k"}, CompleteEpoch: 9},
			`{"disk":"d","want":["k"],"complete":9}`},
	} {
		raw, err := json.Marshal(c.value)
		if err != nil || string(raw) != c.want {
			t.Errorf("%s: %s, %v", name, raw, err)
		}
	}
}
