package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/membership"
	"saltreel/internal/ring"
	"saltreel/internal/timeutil"
)

// watchersPerNode is how many cores a node sends its heartbeats to.
const watchersPerNode = 2

// heartbeatState is the part of a node's heartbeats that changes between them.
type heartbeatState struct {
	sendNow      chan struct{} // holds a value if the next heartbeat is to be sent at once
	retryPending *atomic.Bool  // a startup retry is scheduled

	mu       sync.Mutex
	sequence int64
	draining bool
}

func newHeartbeatState() heartbeatState {
	return heartbeatState{sendNow: make(chan struct{}, 1), retryPending: &atomic.Bool{}}
}

// next returns the next heartbeat of a node.
func (h *heartbeatState) next(self membership.Node) membership.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	self.Sequence = h.sequence
	self.Draining = h.draining
	return self
}

func (h *heartbeatState) setDraining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// requestImmediate requests that the next heartbeat is sent without waiting for the
// interval.
func (h *heartbeatState) requestImmediate() {
	select {
	case h.sendNow <- struct{}{}:
	default:
	}
}

// runHeartbeats sends a heartbeat to the watchers once per interval until ctx ends,
// and logs the traffic periodically.
func (n *Node) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(n.timing.heartbeatInterval(n.self.Role))
	defer ticker.Stop()
	lastTrafficLog := time.Now()
	var acknowledged atomic.Bool // a watcher has acknowledged a heartbeat
	for {
		if time.Since(lastTrafficLog) > n.timing.trafficInterval() {
			lastTrafficLog = time.Now()
			n.logTraffic()
		}
		heartbeat := n.heartbeats.next(n.self)
		for _, watcher := range n.watchers() {
			n.background.start(func() { n.sendHeartbeat(ctx, watcher, heartbeat, &acknowledged) })
		}
		select {
		case <-ctx.Done():
			return
		case <-n.heartbeats.sendNow:
		case <-ticker.C:
		}
	}
}

// watchers returns the addresses of the cores that watch this node, in ring order;
// none while it is not healthy.
func (n *Node) watchers() []string {
	if n.healthy != nil && !n.healthy() {
		return nil
	}
	return ring.Watchers(n.self.Name, n.Cores(), watchersPerNode)
}

// sendHeartbeat sends one heartbeat to one watcher. Stores and cores may start at the
// same time: a store whose first heartbeats are refused retries after a short delay,
// since edges wait for the stores.
func (n *Node) sendHeartbeat(ctx context.Context, watcher string, heartbeat membership.Node, acknowledged *atomic.Bool) {
	callCtx, cancel := context.WithTimeout(ctx, n.timing.heartbeatTimeout(n.self.Role))
	defer cancel()
	err := n.Client.Call(callCtx, watcher, "/beat", heartbeat, nil, nil)
	if err == nil {
		acknowledged.Store(true)
		return
	}
	if n.self.Role == "store" && !acknowledged.Load() && httpwire.ConnectionRefused(err) && n.heartbeats.retryPending.CompareAndSwap(false, true) {
		timeutil.Sleep(ctx, n.timing.startupRetryDelay())
		n.heartbeats.retryPending.Store(false)
		n.heartbeats.requestImmediate()
	}
}

func (n *Node) logTraffic() {
	n.log.Printf("traffic: in %v: %s; from the parent: %s", n.timing.trafficInterval(), n.Client.Traffic(), n.watchClient.Traffic())
}
