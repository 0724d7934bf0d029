package cluster

// What the message search checks:
//
//   - unanswered: each request that an edge has read whole gets a complete answer
//     (but where a fault has struck the edge);
//   - lost: an accepted message is found at any time, with its bytes until it has
//     ended, and is not reported as ended before a handler has run it;
//   - not run: each message whose time has come has run in the end;
//   - order: messages of one order key run one after another, in the order in
//     which they were accepted;
//   - twice: under planned work only, each message runs once.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// queryMessages asks any edge about messages that were accepted a while ago.
func (t *messageTraffic) queryMessages() {
	for t.waitUnlessStopped(queryInterval) {
		t.mu.Lock()
		var asked *acceptedMessage
		if len(t.accepted) > 0 {
			asked = &t.accepted[t.rng.IntN(len(t.accepted))]
		}
		t.mu.Unlock()
		if asked != nil && time.Since(asked.at) > minQueryAge {
			a, zone := *asked, zones[t.random(len(zones))]
			t.clients.Go(func() { t.checkMessage(a, zone) })
		}
	}
}

func (t *messageTraffic) get(zone, path string) clientResponse {
	return t.request(zone, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: app.example\r\nSaltreel-Key: key-one\r\n\r\n", path))
}

// checkMessage asks for the state of a message, and for its bytes while it is
// pending. It returns the state, "" if there was no clear answer.
func (t *messageTraffic) checkMessage(a acceptedMessage, zone string) string {
	m := t.maintenance
	answer := t.get(zone, "/v1/message/"+a.name)
	switch answer.status {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusGone:
		m.fail("lost", "%s was accepted as %s, and the edge of %s answers %d %s", a.id, a.name, zone, answer.status, answer.body)
		return ""
	default:
		return ""
	}
	var state struct {
		State string `json:"oper-state"`
		Seal  string `json:"seal"`
	}
	if err := json.Unmarshal([]byte(answer.body), &state); err != nil {
		m.fail("lost", "the state of %s cannot be read: %v", a.id, err)
	}
	switch state.State {
	case "complete":
		if state.Seal != "seal-"+a.id || t.runs(a.id) == 0 {
			m.fail("lost", "%s is said to be complete with the seal %q, and ran %d times", a.id, state.Seal, t.runs(a.id))
		}
	case "pending":
		bytesOf := t.get(zone, "/v1/message-body/"+a.name)
		if bytesOf.status == http.StatusOK && a.body != "" && bytesOf.body != a.body {
			m.fail("lost", "the bytes of %s are %.40q, not %.40q", a.id, bytesOf.body, a.body)
		}
	default:
		m.fail("lost", "%s is said to be %q, and no handler has failed it", a.id, state.State)
	}
	return state.State
}

func (t *messageTraffic) runs(id string) int {
	return t.plain.deliveryCount(id) + t.ordered.deliveryCount(id)
}

// checkFinalState checks, in the calm at the end, that each accepted message has run.
func (t *messageTraffic) checkFinalState() {
	m := t.maintenance
	for _, a := range t.accepted {
		state, end := "", time.Now().Add(finalLimit)
		for try := 0; state != "complete" && time.Now().Before(end) && m.violation() == nil; try++ {
			if state = t.checkMessage(a, zones[try%len(zones)]); state != "complete" {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if state != "complete" {
			m.fail("not run", "%s, accepted as %s at %v, is %q in the end and ran %d times", a.id, a.name, a.at.Sub(t.startedAt), state, t.runs(a.id))
		}
		if n := t.runs(a.id); !m.plan.withFaults && n > 1 {
			m.fail("twice", "%s ran %d times under planned work only", a.id, n)
		}
	}
	if len(t.accepted) == 0 {
		m.fail("traffic", "no message was accepted")
	}
	t.checkOrder()
}

// checkOrder checks that each message of an order key starts once those accepted
// before it have ended.
func (t *messageTraffic) checkOrder() {
	lastEnd := map[string]time.Time{}
	firstStart := map[string]time.Time{}
	for _, d := range t.ordered.received() {
		if first, ok := firstStart[d.id]; !ok || d.startedAt.Before(first) {
			firstStart[d.id] = d.startedAt
		}
		if end, ok := lastEnd[d.id]; !ok || d.endedAt.Before(end) {
			lastEnd[d.id] = d.endedAt // of its first success: none fails here
		}
	}
	for key, ids := range t.byKey {
		for i := 1; i < len(ids); i++ {
			if firstStart[ids[i]].Before(lastEnd[ids[i-1]]) {
				t.maintenance.fail("order", "%s of %s starts before %s has ended", ids[i], key, ids[i-1])
			}
		}
	}
}

// plantFaults puts the faults of the search in, from outside.
func (m *maintenance) plantFaults() {
	n := m.world.network
	if m.fault.closesWithoutResponse {
		n.dropsConnection = func(c *conn) bool {
			for _, z := range zones {
				if m.world.processOf("edge-"+z) == c.owner {
					return m.world.signalsOf("edge-" + z).isTerminated()
				}
			}
			return false
		}
	}
	if m.fault.dropsRecords {
		n.interceptRequest = func(_ *process, _ string, b []byte) (out, answer []byte) {
			if !bytes.Contains(b, []byte("/accept ")) || !bytes.Contains(b, []byte(`"id":"plain-7`)) {
				return b, nil
			}
			return nil, acceptResponse(b)
		}
	}
}

// acceptResponse is what a store answers to an /accept call that it has on disk.
func acceptResponse(request []byte) []byte {
	call := ""
	for _, line := range strings.Split(string(request), "\r\n") {
		if value, ok := strings.CutPrefix(line, "Call: "); ok {
			call = value
		}
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nCall: %s\r\nContent-Length: 2\r\n\r\n{}", call)
}
