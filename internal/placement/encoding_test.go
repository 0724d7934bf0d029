package placement

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"saltreel/internal/membership"
)

// Every node decodes every placement, so the compact form must hold the same data in
// less than a third of the size. The form of earlier versions must still be decoded.
func TestCompactEncodingRoundTrip(t *testing.T) {
	stores := map[string]StoreStatus{}
	for i := range 60 {
		name := fmt.Sprintf("storage-hall-%d", i)
		stores[name] = StoreStatus{Node: membership.Node{Name: name, Role: "store", Address: "10.0.0.9:7000", Zone: fmt.Sprint(i % 6), Region: "r", Disk: "d"}, Alive: true}
	}
	p := Initial(stores, twoBackups)
	p.Term = 3
	p.Partitions[1] = Partition{Epoch: 7, PreferredPrimary: "removed", Primary: "storage-hall-3", Backups: []Backup{{"removed", false}, {"storage-hall-4", true}}}
	p.Partitions[2] = Partition{Epoch: 8, PreferredPrimary: "storage-hall-1"}
	compact, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	readable, err := json.Marshal(Readable(p))
	if err != nil {
		t.Fatal(err)
	}
	if len(compact)*3 > len(readable) {
		t.Errorf("compact form has %d bytes, readable form %d", len(compact), len(readable))
	}
	for form, raw := range map[string][]byte{"compact": compact, "earlier": readable} {
		var got Placement
		if err := json.Unmarshal(raw, &got); err != nil || !reflect.DeepEqual(got, p) {
			t.Errorf("%s form: %v", form, err)
		}
	}
}

func TestCompactEncoding(t *testing.T) {
	p := Placement{
		Stores: map[string]Store{"b": {}, "a": {}},
		Partitions: []Partition{
			{Epoch: 1, PreferredPrimary: "a", PreferredBackups: []string{"b"}, Primary: "b", Backups: []Backup{{"a", true}, {"other", false}}},
			{Epoch: 12, PreferredPrimary: "b", Primary: "other"},
		},
	}
	raw, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	var got document
	if err := json.Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	if want := "1 0,1 1,0+,2;12 1 2"; got.CompactPartitions != want || !reflect.DeepEqual(got.UnlistedStores, []string{"other"}) {
		t.Errorf("%q with %v, not %q", got.CompactPartitions, got.UnlistedStores, want)
	}
}

func TestDamagedCompactEncodingIsRefused(t *testing.T) {
	for _, raw := range []string{
		`{"places":"1 0 0"}`,
		`{"places":"x"}`,
		`{"places":"1 a b","others":["a"]}`,
		`{"places":"x 0 0","others":["a"]}`,
		`{"places":"1 0 0,1","others":["a"]}`,
		`{"places":"1 0,-1 0","others":["a"]}`,
	} {
		got := Placement{Version: 7}
		if err := json.Unmarshal([]byte(raw), &got); err == nil {
			t.Errorf("%s decoded without error as %+v", raw, got)
		}
		if got.Version != 7 || got.Partitions != nil {
			t.Errorf("%s: failed decoding changed the placement to %+v", raw, got)
		}
	}
}
