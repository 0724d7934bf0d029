// Package membership holds what a process of the system tells about itself in
// its heartbeats.
package membership

// Node is one of the system's own processes, as it tells of itself.
type Node struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	Address     string `json:"address"` // internal
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation string `json:"life"` // differs for each start; which is the newer one, only the watchers tell
	Draining    bool   `json:"leaving,omitempty"`
	Sequence    int64  `json:"sequence"`
	Disk        string `json:"disk,omitempty"` // identity of the disk, for a store
}

// Scope is whom the news of a node concern.
func (n Node) Scope() string {
	if n.Role == "core" {
		return ""
	}
	return n.Zone
}
