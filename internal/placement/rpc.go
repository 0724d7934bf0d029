package placement

// FailureReport reports that a node does not respond. Watchers and callers of the
// node send it to the control plane, which then probes the node itself.
type FailureReport struct {
	Node    string `json:"node"`
	Refused bool   `json:"refused"` // its host refuses connections: no process listens there
}

// FailureReportResponse tells whether the receiver of a failure report holds the
// controller lease; if so, the report need not be sent to other cores.
type FailureReportResponse struct {
	Controller bool `json:"steward,omitempty"`
}

// InSyncReport is sent by a primary when backups have become in sync, or when the
// primary itself has copied the records of its sources.
type InSyncReport struct {
	Replicas []Replica `json:"copies"`
}

// Replica identifies a replica of a partition in one epoch.
type Replica struct {
	Partition int    `json:"partition"`
	Epoch     int64  `json:"epoch"`
	Store     string `json:"store"`
}

// HandoverRequest asks a store to stop acting as the primary of partitions so that
// their successors can take over. The response has the same format and lists the
// partitions that have stopped.
type HandoverRequest struct {
	Partitions map[int]int64 `json:"partitions"` // epoch in which to stop, by partition
}
