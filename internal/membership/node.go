// Package membership defines what a process of the system reports about itself in
// its heartbeats.
package membership

// Node describes one process of the system, as reported in its heartbeats.
type Node struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	Address     string `json:"address"` // internal, host:port
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation string `json:"life"` // random for each start, so unordered; only the cores that watch the node know which is newer
	Draining    bool   `json:"leaving,omitempty"`
	Sequence    int64  `json:"sequence"`       // of the heartbeat within the incarnation
	Disk        string `json:"disk,omitempty"` // identity of the disk, for a store
}

// Scope returns the zone whose processes need the events of the node, or "" if all
// processes do.
func (n Node) Scope() string {
	if n.Role == "core" {
		return ""
	}
	return n.Zone
}
