package delivery

import (
	"strings"
	"testing"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/partition"
)

func keyed(id string, order int64) *message {
	return &message{record: &partition.Record{ID: id, Tenant: "one", OrderKey: "k", Order: order}}
}

func ids(messages []*message) string {
	var out []string
	for _, m := range messages {
		out = append(out, m.record.ID)
	}
	return strings.Join(out, "")
}

func TestOrderKeyQueueKeepsOrderOfAcceptance(t *testing.T) {
	for name, c := range map[string]struct {
		running bool // whether the first message has an attempt in flight
		orders  []int64
		want    string
		first   bool // whether the last inserted message is the first
	}{
		"in order":                      {false, []int64{1, 2, 3}, "abc", false},
		"inserted late":                 {false, []int64{1, 3, 2}, "acb", false},
		"inserted first":                {false, []int64{2, 3, 1}, "cab", true},
		"first, but another is running": {true, []int64{2, 3, 1}, "acb", false},
		"equal order":                   {false, []int64{2, 2, 2}, "abc", false},
	} {
		q := &orderKeyQueue{}
		first := false
		for i, order := range c.orders {
			m := keyed(string(rune('a'+i)), order)
			m.running = c.running && i == 0
			first = q.insert(m)
		}
		if got := ids(q.messages); got != c.want || first != c.first {
			t.Errorf("%s: %s, first %v", name, got, first)
		}
	}
}

func TestRemoveReturnsNextMessageOfOrderKey(t *testing.T) {
	p := newPartitionMessages()
	a, b, c := keyed("a", 1), keyed("b", 2), keyed("c", 3)
	if !p.add(a) || p.add(b) || p.add(c) {
		t.Error("add: not only the first message of an order key may be queued")
	}
	if next := p.remove(b); next != a {
		t.Errorf("after removing b: next is %v", next)
	}
	if next := p.remove(a); next != c {
		t.Errorf("after removing a: next is %v", next)
	}
	if next := p.remove(c); next != nil || len(p.byKey) != 0 || len(p.byID) != 0 {
		t.Errorf("after removing all: next is %v, %v left", next, p)
	}
	unkeyed := &message{record: &partition.Record{ID: "d"}}
	if !p.add(unkeyed) || p.remove(unkeyed) != nil || len(p.byKey) != 0 {
		t.Error("a message without an order key depends on others")
	}
}

func TestApplyRoute(t *testing.T) {
	since := time.Now()
	m := &message{eligibleSince: since}
	m.applyRoute(&configuration.Route{Priority: 3, StartTargetMs: 600, RetentionS: 10})
	if m.priority != 3 || m.startBy.Sub(since) != 600*time.Millisecond || m.overdueAt.Sub(since) != 5*time.Second {
		t.Errorf("%+v", m)
	}
}

func TestMessageExpired(t *testing.T) {
	for expires, want := range map[int64]bool{0: false, 99: true, 100: false, 101: false} {
		if got := (&message{record: &partition.Record{Expires: expires}}).expired(100); got != want {
			t.Errorf("expires at %d: expired(100) = %v", expires, got)
		}
	}
}
