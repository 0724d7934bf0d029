// Package membership holds what a process of the system reports about itself in
// its heartbeats.
package membership

// Node is one of the system's own processes, as its heartbeats describe it.
type Node struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	Address     string `json:"address"` // internal, host:port
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation string `json:"life"` // random for each start; which one is newer, only the cores that watch the node know
	Draining    bool   `json:"leaving,omitempty"`
	Sequence    int64  `json:"sequence"`       // of the heartbeat within the incarnation
	Disk        string `json:"disk,omitempty"` // identity of the disk, for a store
}

// Scope is the zone whose processes need the events of the node; empty if all do.
func (n Node) Scope() string {
	if n.Role == "core" {
		return ""
	}
	return n.Zone
}
