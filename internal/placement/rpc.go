package placement

// FailureReport says that a node does not respond. Watchers and callers of the
// node send it to the control plane, which probes the node itself.
type FailureReport struct {
	Node    string `json:"node"`
	Refused bool   `json:"refused"` // its host refuses connections: no process listens there
}

// FailureReportResponse says whether the server that received the report holds
// the controller's lease; if it does, the report need not go to the others.
type FailureReportResponse struct {
	Controller bool `json:"steward,omitempty"`
}

// InSyncReport is sent by a primary when backups have become in sync.
type InSyncReport struct {
	Replicas []Replica `json:"copies"`
}

// Replica names one backup of a partition in one epoch.
type Replica struct {
	Partition int    `json:"partition"`
	Epoch     int64  `json:"epoch"`
	Store     string `json:"store"`
}

// HandoverRequest asks a store to stop being the primary of partitions, so that
// their successors can take over. The response has the same form and holds the
// partitions that have stopped.
type HandoverRequest struct {
	Partitions map[int]int64 `json:"partitions"` // partition to the epoch in which it is to stop
}
