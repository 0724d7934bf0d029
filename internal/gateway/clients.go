package gateway

import "sync"

// clientTable is the connections of all clients.
type clientTable struct {
	mu     sync.Mutex
	conns  map[*clientConn]bool
	byName map[string]*clientConn // the newest of each client
}

func newClientTable() clientTable {
	return clientTable{conns: map[*clientConn]bool{}, byName: map[string]*clientConn{}}
}

func (t *clientTable) add(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = true
}

// register notes whose connection it is. An older one of the client, which it has
// left, is closed.
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

// all lists the connections.
func (t *clientTable) all() []*clientConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*clientConn
	for c := range t.conns {
		list = append(list, c)
	}
	return list
}
