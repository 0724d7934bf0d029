package gateway

import (
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"saltreel/internal/distribution"
	"saltreel/internal/journal"
	"saltreel/internal/linewire"
	"saltreel/internal/membership"
)

// peerGateways holds the other gateways, to which clients can be redirected.
type peerGateways struct {
	self  string
	mu    sync.Mutex
	nodes map[string]membership.Node // by name
}

func newPeerGateways(self string) peerGateways {
	return peerGateways{self: self, nodes: map[string]membership.Node{}}
}

// applyEvent updates the gateways from the nodes of the zone.
func (n *peerGateways) applyEvent(e journal.Event) {
	name, ok := strings.CutPrefix(e.Key, distribution.PrefixNode)
	if !ok {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	node := journal.Decode[membership.Node](e)
	if e.IsDeleted() || node.Role != nodeRole || node.Draining || node.Name == n.self {
		delete(n.nodes, name)
		return
	}
	n.nodes[name] = node
}

// addresses returns the client addresses of the other gateways. The port is the same on all
// hosts.
func (n *peerGateways) addresses(port string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var addresses []string
	for _, node := range n.nodes {
		if host, _, err := net.SplitHostPort(node.Address); err == nil {
			addresses = append(addresses, net.JoinHostPort(host, port))
		}
	}
	slices.Sort(addresses)
	return addresses
}

// drain redirects the clients to other gateways, spread over the redirect period, and waits
// until they have disconnected. Remaining connections are closed once their outstanding
// publications are answered, or when the drain timeout expires.
func (g *Gateway) drain() {
	g.stopping.Store(true)
	g.node.Drain()
	deadline := time.Now().Add(g.timing.drainTimeout())
	g.redirectAll()
	for _, c := range g.clients.all() {
		for c.pendingPublishes.Load() > 0 && time.Now().Before(deadline) {
			time.Sleep(g.timing.retryDelay())
		}
		c.outbox.close()
	}
	for len(g.clients.all()) > 0 && time.Now().Before(deadline) {
		time.Sleep(g.timing.retryDelay())
	}
}

// redirectAll distributes the clients over the other gateways round-robin.
func (g *Gateway) redirectAll() {
	_, port, err := net.SplitHostPort(g.settings.Listeners.DataPlane)
	if err != nil {
		return
	}
	addresses := g.peers.addresses(port)
	clients := g.clients.all()
	if len(addresses) == 0 || len(clients) == 0 {
		return
	}
	pause := g.timing.redirectPeriod() / time.Duration(len(clients))
	for i, c := range clients {
		c.send(linewire.AppendRedirect(nil, addresses[i%len(addresses)]))
		time.Sleep(pause)
	}
}
