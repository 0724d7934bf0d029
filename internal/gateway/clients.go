package gateway

import "sync"

// clientTable holds all client connections.
type clientTable struct {
	mu     sync.Mutex
	conns  map[*clientConn]bool
	byName map[string]*clientConn // the newest connection of each client
}

func newClientTable() clientTable {
	return clientTable{conns: map[*clientConn]bool{}, byName: map[string]*clientConn{}}
}

func (t *clientTable) add(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = true
}

// register records the client name of a connection. An older connection of the same client,
// which the client has abandoned, is closed.
func (t *clientTable) register(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if former := t.byName[c.clientName]; former != nil {
		_ = former.conn.Close()
	}
	t.byName[c.clientName] = c
}

func (t *clientTable) remove(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	if t.byName[c.clientName] == c {
		delete(t.byName, c.clientName)
	}
}

// all returns all connections.
func (t *clientTable) all() []*clientConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*clientConn
	for c := range t.conns {
		list = append(list, c)
	}
	return list
}
