package node

import (
	"testing"

	"saltreel/internal/membership"
)

func TestHeartbeatSequenceRisesAndDrainingStays(t *testing.T) {
	h := newHeartbeats()
	self := membership.Node{Name: "store-1", Incarnation: "one"}
	for sequence := int64(1); sequence <= 4; sequence++ {
		if sequence == 3 {
			h.setDraining()
		}
		want := self
		want.Sequence = sequence
		want.Draining = sequence >= 3
		if got := h.next(self); got != want {
			t.Errorf("heartbeat %+v, want %+v", got, want)
		}
	}
}

func TestDrainSendsNextHeartbeatAtOnce(t *testing.T) {
	n := New(testConfig())
	n.Drain()
	n.Drain() // two in a row must not block
	select {
	case <-n.heartbeats.sendNow:
	default:
		t.Error("no heartbeat was asked for")
	}
	if !n.heartbeats.next(n.self).Draining {
		t.Error("the heartbeat does not say that the node drains")
	}
}

func TestUnhealthyNodeSendsNoHeartbeat(t *testing.T) {
	healthy := true
	config := testConfig()
	config.Healthy = func() bool { return healthy }
	n := New(config)
	if watchers := n.watchers(); len(watchers) != 1 {
		t.Errorf("watchers %v of a healthy node, want the one core there is", watchers)
	}
	healthy = false
	if watchers := n.watchers(); len(watchers) != 0 {
		t.Errorf("watchers %v of an unhealthy node, want none", watchers)
	}
}
