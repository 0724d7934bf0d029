package node

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/membership"
)

func TestHeartbeatSequenceRisesAndDrainingStays(t *testing.T) {
	h := newHeartbeatState()
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

// A store whose cores refuse connections at startup retries its heartbeat soon, but
// the retries of several watchers and intervals must not multiply.
func TestRetriesOfTheFirstHeartbeatDoNotAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int64
		config := testConfig()
		config.Role = "store"
		config.Network.Dial = func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
		}
		n := New(config)
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		tasks.Go(func() { n.runHeartbeats(ctx) })
		time.Sleep(4 * n.timing.contactTimeout)
		cancel()
		tasks.Wait()
		n.background.stop()
		ordinary := 4 * n.timing.contactTimeout / n.timing.heartbeatInterval("store")
		retries := 4 * n.timing.contactTimeout / n.timing.startupRetryDelay()
		if got := time.Duration(dials.Load()); got > ordinary+retries+2 || got < retries/2 {
			t.Errorf("%d heartbeats were tried, at most %d are due", got, ordinary+retries)
		}
	})
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
