package partition

import (
	"bytes"
	"testing"
)

func TestLaterStateSupersedes(t *testing.T) {
	pending := &Record{State: Pending, Epoch: 9, Sequence: 9}
	complete := &Record{State: Complete, Epoch: 1, Sequence: 1}
	if pending.supersedes(complete) || !complete.supersedes(pending) || !pending.supersedes(nil) {
		t.Error("a pending record supersedes an outcome")
	}
	if !(&Record{Epoch: 2, Sequence: 1}).supersedes(&Record{Epoch: 1, Sequence: 5}) || pending.supersedes(pending) {
		t.Error("the newer epoch does not supersede")
	}
}

func TestRecordSetChecksumAndMemoryFollowTheRecords(t *testing.T) {
	set := newRecordSet()
	memory := set.put(&Record{ID: "a"})
	checksum, memoryOfA := set.checksum, memory
	memory += set.put(&Record{ID: "b", Sequence: 1, Body: make([]byte, 100)})
	memory += set.put(&Record{ID: "b", State: Complete, Sequence: 2})
	if set.checksum == checksum || set.count != 2 {
		t.Error("the checksum does not distinguish the sets")
	}
	memory += set.put(&Record{ID: "b", State: Deleted, Sequence: 3})
	if set.checksum != checksum || set.count != 1 || set.sequence != 3 || memory != memoryOfA {
		t.Error("a deleted record still counts")
	}
}

func TestOutcomeRetainsOnlyTheBodyOfADeadLetter(t *testing.T) {
	message := &Record{ID: "a", Tenant: "one", Target: "/x", Expires: 5, Partition: 3, Length: 1, Body: []byte("b")}
	for _, c := range []struct {
		state  State
		target string
		body   []byte
	}{{Complete, "", nil}, {DeadLetter, "/x", []byte("b")}} {
		outcome := message.outcome(c.state, "sealed", 77)
		if outcome.ID != "a" || outcome.Tenant != "one" || outcome.Partition != 3 || outcome.State != c.state || outcome.Seal != "sealed" || outcome.Expires != 77 {
			t.Errorf("state %d: %+v", c.state, outcome)
		}
		if outcome.Target != c.target || !bytes.Equal(outcome.Body, c.body) {
			t.Errorf("state %d: target %q, body %q", c.state, outcome.Target, outcome.Body)
		}
	}
	if message.State != Pending || message.Expires != 5 {
		t.Errorf("the message was changed: %+v", message)
	}
}

func TestDecodeRecordRejectsDamage(t *testing.T) {
	r := &Record{ID: "a", Partition: 3, Length: 2, Body: []byte("xy")}
	key, value := recordKey(3, "a"), r.encode()
	if got, err := decodeRecord(key, value); err != nil || got.ID != "a" || got.Partition != 3 || string(got.Body) != "xy" {
		t.Errorf("%+v %v", got, err)
	}
	for name, c := range map[string]struct{ key, value []byte }{
		"key too short":  {key[:2], value},
		"other id":       {recordKey(3, "b"), value},
		"truncated body": {key, value[:len(value)-1]},
		"no body line":   {key, bytes.TrimSuffix(value, []byte("\nxy"))},
		"not JSON":       {key, []byte("{\nxy")},
	} {
		if got, err := decodeRecord(c.key, c.value); err == nil {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
