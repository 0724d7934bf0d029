package journal

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func event(key string, major int64, value string) Event {
	return Event{Key: key, Version: Version{Major: major}, Value: json.RawMessage(value)}
}

func keys(p Page) (keys []string) {
	for _, e := range p.Events {
		keys = append(keys, e.Key)
	}
	slices.Sort(keys)
	return keys
}

func TestVersionOrder(t *testing.T) {
	for _, c := range []struct {
		v, w Version
		less bool
	}{
		{Version{1, 0}, Version{2, 0}, true},
		{Version{2, 0}, Version{1, 0}, false},
		{Version{1, 1}, Version{1, 2}, true},
		{Version{1, 9}, Version{2, 0}, true},
		{Version{2, 0}, Version{1, 9}, false},
		{Version{1, 1}, Version{1, 1}, false},
	} {
		if got := c.v.Less(c.w); got != c.less {
			t.Errorf("%v before %v: %v", c.v, c.w, got)
		}
	}
}

func TestAppendRejectsOldVersions(t *testing.T) {
	j := New("a", time.Hour, "")
	for _, c := range []struct {
		major int64
		added bool
	}{{2, true}, {2, false}, {1, false}, {3, true}} {
		if got := j.Append(event("k", c.major, "1")); got != c.added {
			t.Errorf("version %d added: %v", c.major, got)
		}
	}
	if e, ok := j.Get("k"); !ok || e.Version.Major != 3 {
		t.Errorf("%v %v", e, ok)
	}
	if page, _ := j.EventsSince("a", 0, nil, nil); len(page.Events) != 1 || page.Number != 2 {
		t.Errorf("%+v", page)
	}
}

func TestPageHoldsEventsMissingFromReader(t *testing.T) {
	j := New("a", time.Hour, "")
	for i := range 5 {
		j.Append(event(fmt.Sprint("node/", i), 1, "1"))
	}
	same := New("b", time.Hour, "")
	for i := range 5 {
		same.Append(event(fmt.Sprint("node/", i), 1, "1"))
	}
	all := []string{"node/0", "node/1", "node/2", "node/3", "node/4"}
	for name, c := range map[string]struct {
		source string
		number uint64
		digest []byte
		wants  func(Event) bool
		want   []string
	}{
		"a new reader":                       {"", 0, nil, nil, all},
		"a reader with the first three":      {"a", 3, nil, nil, all[3:]},
		"a reader with everything":           {"a", 5, nil, nil, nil},
		"a number beyond the last event":     {"a", 6, nil, nil, all},
		"a reader of another journal":        {"b", 3, nil, nil, all},
		"the digest of an equal journal":     {"b", 3, same.Digest(), nil, nil},
		"the digest of an empty journal":     {"b", 3, New("c", 0, "").Digest(), nil, all},
		"a digest of another length":         {"b", 3, []byte{1}, nil, all},
		"the digest of an up-to-date reader": {"a", 3, same.Digest(), nil, all[3:]},
		"a filter":                           {"", 0, nil, func(e Event) bool { return e.Key == "node/2" }, all[2:3]},
	} {
		page, _ := j.EventsSince(c.source, c.number, c.digest, c.wants)
		if got := keys(page); !slices.Equal(got, c.want) || page.Source != "a" || page.Number != 5 {
			t.Errorf("%s: %v, not %v, of %s at %d", name, got, c.want, page.Source, page.Number)
		}
	}
}

// Page.Encode does not use encoding/json for the page; its output must be the same.
func TestPageEncodingIsJSON(t *testing.T) {
	j := New(`quoted "source"`, time.Hour, "")
	j.Append(event("a", 1, `{"x":1}`))
	j.Append(Event{Key: "b", Version: Version{1, 2}, Value: json.RawMessage("null"), Scope: "zone"})
	page, _ := j.EventsSince("", 0, nil, nil)
	want, err := json.Marshal(page)
	if err != nil {
		t.Fatal(err)
	}
	if got := page.Encode(); string(got) != string(want) {
		t.Errorf("%s, not %s", got, want)
	}
}

func TestExpiredTombstonesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := New("a", time.Hour, "")
		before := j.Digest()
		j.Append(event("old", 1, "null"))
		if e, ok := j.Get("old"); !ok || !e.IsDeleted() {
			t.Errorf("%v %v", e, ok)
		}
		fill := func(version int64) { // enough for a compaction
			for i := range int64(3 * digestBuckets) {
				j.Append(event("busy", version+i, "1"))
			}
		}
		fill(1)
		if _, ok := j.Get("old"); !ok {
			t.Error("a tombstone is dropped before its retention is over")
		}
		time.Sleep(time.Hour + time.Second)
		fill(1000)
		if _, ok := j.Get("old"); ok {
			t.Error("a tombstone is there after its retention")
		}
		busy, _ := j.Get("busy")
		j.digest.toggle(busy.digestBucket(), &busy)
		if !slices.Equal(j.Digest(), before) {
			t.Error("the digest counts a dropped tombstone")
		}
	})
}

func TestOnlyUrgentEventsCloseTheUrgentChannel(t *testing.T) {
	closed := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	j := New("a", time.Hour, "node/")
	for key, want := range map[string]bool{"node/1": false, "placement": true} {
		changed, urgent := j.Changes()
		j.Append(event(key, 1, "1"))
		if !closed(changed) || closed(urgent) != want {
			t.Errorf("%s: changed %v, urgent %v", key, closed(changed), closed(urgent))
		}
	}
}

func TestSubscribersSeePastAndNewEventsInOrder(t *testing.T) {
	j := New("a", time.Hour, "")
	j.Append(event("a", 1, "1"))
	j.Append(event("b", 1, "1"))
	j.Append(event("a", 2, "1"))
	var seen []string
	j.Subscribe(func(e Event) { seen = append(seen, fmt.Sprint(e.Key, e.Version.Major)) })
	j.Append(event("a", 1, "1"))
	j.Append(event("c", 1, "1"))
	if want := []string{"b1", "a2", "c1"}; !slices.Equal(seen, want) {
		t.Errorf("%v, not %v", seen, want)
	}
}

// Digests are exchanged between processes of different versions, so their computation
// must not change.
func TestDigestOfAKnownEvent(t *testing.T) {
	for key, want := range map[string]struct {
		bucket int
		value  uint64
	}{
		"placement":    {0, 0x15d48f177f2bb2a6},
		"node/store-1": {173, 0x3d5f0090cefff0c7},
	} {
		j := New("a", time.Hour, "")
		j.Append(Event{Key: key, Version: Version{3, 1}, Value: json.RawMessage("1")})
		encoded := j.Digest()
		for bucket := range digestBuckets {
			value := binary.BigEndian.Uint64(encoded[8*bucket:])
			if bucket == want.bucket && value != want.value || bucket != want.bucket && value != 0 {
				t.Errorf("%s: bucket %d is %#x", key, bucket, value)
			}
		}
	}
}
