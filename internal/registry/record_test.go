package registry

import (
	"encoding/json"
	"testing"
	"time"

	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func version(major, minor int64) journal.Version { return journal.Version{Major: major, Minor: minor} }

func TestMergeAcceptsNewerVersionsOnly(t *testing.T) {
	const key = "instance/i"
	ready, draining := json.RawMessage(`{"oper-state":"ready"}`), json.RawMessage(`{"oper-state":"draining"}`)
	existing := record{version: version(5, 0), changed: version(5, 0), value: ready, lastSeen: testStart}
	now := testStart.Add(time.Minute)
	for name, c := range map[string]struct {
		in          Entry
		changed     bool
		version     journal.Version
		value       json.RawMessage
		valueSince  journal.Version
		lastSeenAgo time.Duration
	}{
		"newer value":           {Entry{Version: version(6, 0), Value: draining}, true, version(6, 0), draining, version(6, 0), 0},
		"newer, same value":     {Entry{Version: version(6, 0), Value: ready}, false, version(6, 0), ready, version(5, 0), 0},
		"newer, without value":  {Entry{Version: version(6, 0)}, false, version(6, 0), ready, version(5, 0), 0},
		"newer, old heartbeat":  {Entry{Version: version(6, 0), AgeMs: 3600_000}, false, version(6, 0), ready, version(5, 0), time.Minute},
		"changed at the sender": {Entry{Version: version(7, 0), Value: ready, Changed: version(6, 0)}, false, version(7, 0), ready, version(6, 0), 0},
		"same version":          {Entry{Version: version(5, 0), Value: draining}, false, version(5, 0), ready, version(5, 0), 0},
		"older version":         {Entry{Version: version(4, 9), Value: draining}, false, version(5, 0), ready, version(5, 0), time.Minute},
		"deregistered":          {Entry{Version: version(majorDeregistered, 0), Value: nullValue}, true, version(majorDeregistered, 0), nullValue, version(majorDeregistered, 0), 0},
	} {
		r := existing
		c.in.Key = key
		changed := r.merge(c.in, now)
		if changed != c.changed || r.version != c.version || string(r.value) != string(c.value) || r.changed != c.valueSince {
			t.Errorf("%s: changed %v, %+v", name, changed, r)
		}
		if ago := now.Sub(r.lastSeen); ago != c.lastSeenAgo {
			t.Errorf("%s: last seen %v ago, want %v", name, ago, c.lastSeenAgo)
		}
		if changed != r.updated.Equal(now) {
			t.Errorf("%s: changed is %v, but updated is %v", name, changed, r.updated)
		}
	}
}

func TestHeartbeatVersionOrdersIncarnations(t *testing.T) {
	const window = time.Second
	node := func(incarnation string) membership.Node {
		return membership.Node{Name: "n", Incarnation: incarnation, Sequence: 7}
	}
	clock := testStart.UnixMilli()
	known := record{version: version(clock-1000, 3), node: node("b"), previousIncarnation: "a", replacedAt: testStart, replacedIncarnations: []string{"z", "a"}, lastSeen: testStart}
	ahead := known
	ahead.version.Major = clock + 1<<40
	for name, c := range map[string]struct {
		existing    *record
		incarnation string
		after       time.Duration
		version     journal.Version
		current     bool
	}{
		"unknown node":     {nil, "a", 0, version(clock, 7), true},
		"same incarnation": {&known, "b", 0, version(clock-1000, 7), true},
		"new incarnation":  {&known, "c", 0, version(clock, 7), true},
		"new incarnation, known version ahead of the clock": {&ahead, "c", 0, version(clock+1<<40+1, 7), true},
		"previous incarnation":                              {&known, "a", 0, version(clock, 7), false},
		"earlier incarnation":                               {&known, "z", 0, version(clock, 7), false},
		"earlier incarnation, current one not recent":       {&known, "z", window, version(clock+1000, 7), true},
	} {
		got, current := c.existing.heartbeatVersion(node(c.incarnation), testStart.Add(c.after), window)
		if got != c.version || current != c.current {
			t.Errorf("%s: %+v, current %v", name, got, current)
		}
	}
}

func TestReplacedIncarnationsAreBounded(t *testing.T) {
	r := record{}
	r.recordReplaced("0") // no incarnation was known before
	for i := range 20 {
		r.node.Incarnation = string(rune('a' + i))
		r.recordReplaced(r.node.Incarnation) // a heartbeat of the same incarnation
		r.recordReplaced("next")
	}
	if n := len(r.replacedIncarnations); n != maxReplacedIncarnations || r.replacedIncarnations[n-1] != "t" {
		t.Errorf("remembered incarnations: %q", r.replacedIncarnations)
	}
}

func TestSessionBeginsAfterAGap(t *testing.T) {
	var r record
	for _, c := range []struct{ at, started time.Duration }{
		{0, 0}, {time.Second, 0}, {2 * time.Second, 0}, {3*time.Second + 1, 3*time.Second + 1}, {4 * time.Second, 3*time.Second + 1},
	} {
		r.recordHeartbeat(testStart.Add(c.at), time.Second)
		if got := r.sessionStart.Sub(testStart); got != c.started {
			t.Errorf("heartbeat after %v: session began after %v, want %v", c.at, got, c.started)
		}
	}
}

func TestExpiryAction(t *testing.T) {
	const expiry = time.Second
	value := json.RawMessage(`{}`)
	for name, c := range map[string]struct {
		value json.RawMessage
		age   time.Duration
		want  expiryAction
	}{
		"recent":                                 {value, expiry, expiryNone},
		"no heartbeat":                           {value, expiry + 1, expiryExpire},
		"no heartbeat for a long time":           {value, 20 * expiry, expiryExpire},
		"deregistered":                           {nullValue, expiry + 1, expiryNone},
		"deregistered, at the retention limit":   {nullValue, tombstoneRetentionPeriods * expiry, expiryNone},
		"deregistered, past the retention limit": {nullValue, tombstoneRetentionPeriods*expiry + 1, expiryPurge},
	} {
		r := record{value: c.value, lastSeen: testStart}
		if got := r.expiryAction(testStart.Add(c.age), expiry); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
	r := record{version: version(4, 1), value: value}
	if r.expire(); !isNull(r.value) || r.version != version(4, 2) || r.changed != r.version {
		t.Errorf("after expiry: %+v", r)
	}
}

func TestMissingValueIsNeeded(t *testing.T) {
	existing := &record{version: version(5, 0), changed: version(3, 0), value: json.RawMessage(`{}`)}
	expired := &record{version: version(5, 1), changed: version(5, 1), value: nullValue}
	for name, c := range map[string]struct {
		existing *record
		in       Entry
		want     bool
	}{
		"unknown key":               {nil, Entry{Version: version(1, 0)}, true},
		"unknown key, with value":   {nil, Entry{Version: version(1, 0), Value: nullValue}, false},
		"unchanged value":           {existing, Entry{Version: version(6, 0), Changed: version(3, 0)}, false},
		"changed value":             {existing, Entry{Version: version(6, 0), Changed: version(6, 0)}, true},
		"expired here, newer there": {expired, Entry{Version: version(6, 0), Changed: version(3, 0)}, true},
		"expired here, older there": {expired, Entry{Version: version(5, 0), Changed: version(3, 0)}, false},
		"changed value, with value": {existing, Entry{Version: version(6, 0), Changed: version(6, 0), Value: json.RawMessage(`{}`)}, false},
	} {
		if got := c.existing.needsValue(c.in); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestSameValueIgnoresPerHeartbeatCounters(t *testing.T) {
	for name, c := range map[string]struct {
		a, b string
		want bool
	}{
		"equal":             {`{"a":1}`, `{"a":1}`, true},
		"sequence":          {`{"a":1,"sequence":1}`, `{"a":1,"sequence":2}`, true},
		"call and warm-up":  {`{"call-seq":1,"warmup-left-ms":5}`, `{"call-seq":2}`, true},
		"other":             {`{"a":1}`, `{"a":2}`, false},
		"one more":          {`{"a":1}`, `{"a":1,"b":2}`, false},
		"null and a value":  {`null`, `{"a":1}`, false},
		"null both":         {`null`, `null`, true},
		"nothing and value": {``, `{"a":1}`, false},
		"unreadable":        {`{`, `{`, false},
	} {
		var a, b json.RawMessage
		if c.a != "" {
			a = json.RawMessage(c.a)
		}
		b = json.RawMessage(c.b)
		if got := sameValue(a, b); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestStageOfEntries(t *testing.T) {
	for name, c := range map[string]struct {
		key       string
		major     int64
		stage     stage
		tombstone bool
	}{
		"ready":        {"instance/i", 17, 0, false},
		"draining":     {"instance/i", majorDraining + 17, 1, true},
		"deregistered": {"instance/i", majorDeregistered, 2, true},
		"node":         {"node/n", 17, 0, false},
	} {
		entry := Entry{Key: c.key, Version: version(c.major, 0)}
		if entry.stage() != c.stage || entry.isTombstone() != c.tombstone {
			t.Errorf("%s: stage %d, tombstone %v", name, entry.stage(), entry.isTombstone())
		}
	}
}
