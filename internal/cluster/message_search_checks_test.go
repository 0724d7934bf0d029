package cluster

// The classes of violations that the message search reports:
//
//   - unanswered: an edge that was not hit by a fault has read a whole request and
//     sent no complete response;
//   - lost: an accepted message is not found, has another body while it is pending,
//     or is reported as complete before a handler has processed it;
//   - not run: a message that is due was not delivered by the end of the schedule;
//   - order: messages of one order key were not delivered one after another in the
//     order in which they were accepted, or a configuration was not acknowledged;
//   - twice: in a schedule without faults, a message was delivered more than once, or a
//     message that its client sent once is in two partitions;
//   - grace: a graceful stop took longer than the grace period;
//   - traffic: no message was accepted.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"saltreel/internal/partition"
)

// queryMessages queries the status of accepted messages from random edges. Only messages
// older than minQueryAge are queried.
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

// checkMessage queries the state of a message, and its body while it is pending. It
// returns the state, or "" if the response was inconclusive.
func (t *messageTraffic) checkMessage(a acceptedMessage, zone string) string {
	m := t.maintenance
	answer := t.get(zone, "/v1/message/"+a.name)
	switch answer.status {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusGone:
		m.fail("lost", "%s was accepted as %s, but the edge of %s responds with %d %s", a.id, a.name, zone, answer.status, answer.body)
		return ""
	default:
		return ""
	}
	var state struct {
		State string `json:"oper-state"`
		Seal  string `json:"seal"`
	}
	if err := json.Unmarshal([]byte(answer.body), &state); err != nil {
		m.fail("lost", "cannot decode the state of %s: %v", a.id, err)
	}
	switch state.State {
	case "complete":
		if state.Seal != "seal-"+a.id || t.runs(a.id) == 0 {
			m.fail("lost", "%s is reported as complete with the seal %q after %d deliveries", a.id, state.Seal, t.runs(a.id))
		}
	case "pending":
		bytesOf := t.get(zone, "/v1/message-body/"+a.name)
		if bytesOf.status == http.StatusOK && a.body != "" && bytesOf.body != a.body {
			m.fail("lost", "the body of %s is %.40q, want %.40q", a.id, bytesOf.body, a.body)
		}
	default:
		m.fail("lost", "%s is reported as %q, but no handler has returned a failure", a.id, state.State)
	}
	return state.State
}

func (t *messageTraffic) runs(id string) int {
	return t.plain.deliveryCount(id) + t.ordered.deliveryCount(id)
}

// checkFinalState checks that each accepted message has been delivered, after the faults and the
// traffic have ended.
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
			m.fail("not run", "%s, accepted as %s at %v, has the final state %q after %d deliveries", a.id, a.name, a.at.Sub(t.startedAt), state, t.runs(a.id))
		}
		if n := t.runs(a.id); !m.plan.withFaults && n > 1 {
			m.fail("twice", "%s was delivered %d times in a schedule without faults", a.id, n)
		}
	}
	if len(t.accepted) == 0 {
		m.fail("traffic", "no message was accepted")
	}
	t.checkOrder()
}

// checkPartitions checks that each message that its client sent only once is in one
// partition, since two partitions would both deliver it.
func (t *messageTraffic) checkPartitions() {
	m := t.maintenance
	holders := t.partitionsOfMessages()
	for _, a := range t.accepted {
		if a.sentOnce && len(holders[a.id]) > 1 {
			m.fail("twice", "%s, accepted as %s, is in the partitions %v", a.id, a.name, holders[a.id])
		}
	}
}

// partitionsOfMessages returns the partitions that hold each message, by the digests of
// their primaries.
func (t *messageTraffic) partitionsOfMessages() map[string][]int {
	w, holders := t.maintenance.world, map[string][]int{}
	status, err := w.status()
	if err != nil {
		w.t.Fatal(err)
	}
	for n, placed := range status.Placement.Partitions {
		var digest partition.DigestResponse
		ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
		err := w.client.Call(ctx, status.Placement.Stores[placed.Primary].Address, "/digest", partition.DigestRequest{Partition: n}, nil, &digest)
		cancel()
		if err != nil {
			t.maintenance.fail("not run", "the primary of partition %d, %s, does not answer: %v", n, placed.Primary, err)
		}
		for _, state := range []partition.State{partition.Pending, partition.Complete, partition.DeadLetter} {
			for _, id := range digest.IDs[state] {
				holders[id] = append(holders[id], n)
			}
		}
	}
	return holders
}

// checkOrder checks that the delivery of each message of an order key starts after
// that of the message accepted before it has ended.
func (t *messageTraffic) checkOrder() {
	lastEnd := map[string]time.Time{}
	firstStart := map[string]time.Time{}
	for _, d := range t.ordered.received() {
		if first, ok := firstStart[d.id]; !ok || d.startedAt.Before(first) {
			firstStart[d.id] = d.startedAt
		}
		if end, ok := lastEnd[d.id]; !ok || d.endedAt.Before(end) {
			lastEnd[d.id] = d.endedAt // of the first success: handlers never fail here
		}
	}
	for key, ids := range t.byKey {
		for i := 1; i < len(ids); i++ {
			if firstStart[ids[i]].Before(lastEnd[ids[i-1]]) {
				t.maintenance.fail("order", "delivery of %s with order key %s started before that of %s had ended", ids[i], key, ids[i-1])
			}
		}
	}
}

// plantFaults installs the network hooks of the planted faults.
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

// acceptResponse returns a store's response to an /accept call whose record is on disk.
func acceptResponse(request []byte) []byte {
	call := ""
	for _, line := range strings.Split(string(request), "\r\n") {
		if value, ok := strings.CutPrefix(line, "Call: "); ok {
			call = value
		}
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nCall: %s\r\nContent-Length: 2\r\n\r\n{}", call)
}
