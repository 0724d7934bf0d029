package controlplane

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"testing"

	"saltreel/internal/chain"
	"saltreel/internal/placement"
)

func change(revision int) *Proposal {
	return &Proposal{Configuration: fmt.Appendf(nil, `{"revision":%d}`, revision), Match: int64(revision - 1)}
}

// A thousand orders are known as taken, whichever came since, and what is kept
// of them stays as small as it is.
func TestOrdersThatWereTakenStayKnown(t *testing.T) {
	docs := chain.Documents{}
	for n := 1; n <= 5000; n++ {
		set, err := decideConfiguration(docs, change(n))
		if err != nil || len(set) != 2 {
			t.Fatalf("change %d: %d documents, %v", n, len(set), err)
		}
		maps.Copy(docs, set)
		for _, back := range []int{0, 1, 127, 128, 129, 300, 1023} {
			if n > back {
				if set, err := decideConfiguration(docs, change(n-back)); err != nil || set != nil {
					t.Fatalf("after change %d, change %d again: %d documents, %v", n, n-back, len(set), err)
				}
			}
		}
	}
	size := 0
	for _, raw := range docs {
		size += len(raw)
	}
	if len(docs) > 17 || size > 34<<10 {
		t.Errorf("%d documents, %d bytes", len(docs), size)
	}
	other := &Proposal{Configuration: []byte(`{"revision":5000, "limits":{}}`), Match: 4999}
	if _, err := decideConfiguration(docs, other); err == nil {
		t.Error("another change of the same number is taken for the one that won")
	}
}

func TestOrdersTakenByAnEarlierVersionStayKnown(t *testing.T) {
	var list []string
	for n := 1; n <= 64; n++ {
		sum := sha256.Sum256(change(n).Configuration)
		list = append(list, hex.EncodeToString(sum[:]))
	}
	raw, _ := json.Marshal(list)
	docs := chain.Documents{docConfiguration: change(64).Configuration, "taken": raw}
	for n := 65; n <= 365; n++ {
		set, err := decideConfiguration(docs, change(n))
		if err != nil {
			t.Fatal(err)
		}
		maps.Copy(docs, set)
	}
	for n := 1; n <= 365; n++ {
		if set, err := decideConfiguration(docs, change(n)); err != nil || set != nil {
			t.Fatalf("change %d again: %d documents, %v", n, len(set), err)
		}
	}
}

// What earlier versions took may not pass the check of this one.
func TestAConfigurationThatIsUnsoundByNowCanBeReplaced(t *testing.T) {
	docs := chain.Documents{docConfiguration: []byte(`{"revision":7,"service-table":[{"name":""}]}`)}
	if _, err := decideConfiguration(docs, change(8)); err != nil {
		t.Error(err)
	}
}

func TestDecisionsRefuseWithATypeOfTheirOwn(t *testing.T) {
	docs := chain.Documents{docConfiguration: change(5).Configuration}
	for what, p := range map[string]*Proposal{
		"412 another is in force": change(7), "400 unreadable": {Configuration: []byte("{")},
		"400 not higher": {Configuration: []byte(`{"revision":4}`), Match: 5},
	} {
		_, err := decideConfiguration(docs, p)
		var no *RejectedError
		if !errors.As(err, &no) || fmt.Sprint(no.Code) != what[:3] {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// An emptying that was ordered is acknowledged again in each state, also where
// the order would be refused as a new one.
func TestAStoreIsRetiredOnce(t *testing.T) {
	c := &Server{}
	p := placement.Placement{Version: 1, Stores: map[string]placement.Store{"a": {}, "b": {}, "c": {}}}
	raw, _ := json.Marshal(p)
	docs := chain.Documents{docPlacement: raw}
	set, err := c.decideRetire(docs, "a", 1)
	if err != nil || set == nil {
		t.Fatal(set, err)
	}
	maps.Copy(docs, set)
	for _, state := range []string{placement.RetireActive, placement.RetireComplete} {
		p, _ := c.placementOf(docs)
		p = p.Clone()
		p.Stores["a"] = placement.Store{Retire: state}
		docs[docPlacement], _ = json.Marshal(p)
		if set, err := c.decideRetire(docs, "a", 1); err != nil || set != nil {
			t.Errorf("%s, ordered again: %v %v", state, set, err)
		}
	}
	for name, code := range map[string]int{"b": 409, "nowhere": 404} {
		var no *RejectedError
		if _, err := c.decideRetire(docs, name, 1); !errors.As(err, &no) || no.Code != code {
			t.Errorf("%s: %v", name, err)
		}
	}
}
