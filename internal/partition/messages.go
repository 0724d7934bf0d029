package partition

// BatchRequest is sent by a primary to a backup. The bodies of the records follow it in
// the order of the records.
type BatchRequest struct {
	From       string           `json:"from"`
	Number     int64            `json:"no"`              // increases with each batch of one incarnation of the sender
	After      int64            `json:"after,omitempty"` // number of the batch to be applied first; 0 if there is none
	Now        int64            `json:"now"`             // the sender's clock in ms, used to correct for clock differences
	Disk       string           `json:"disk,omitempty"`  // identity of the receiving disk; empty for any
	Partitions []PartitionBatch `json:"parts"`
}

// PartitionBatch is the part of a batch that concerns one partition.
type PartitionBatch struct {
	Partition    int       `json:"n"`
	Epoch        int64     `json:"e"`
	Now          int64     `json:"now,omitempty"` // the sender's clock in ms, in the response to a FetchRequest
	Records      []*Record `json:"r,omitempty"`
	ReleaseLease bool      `json:"release,omitempty"` // the primary releases its lease
	Released     Position  `json:"rel,omitzero"`      // position up to which the entries were released
}

// BatchResponse is sent once the whole BatchRequest is on the backup's disk.
type BatchResponse struct {
	Partitions []PartitionResult `json:"parts"`
	InOrder    bool              `json:"in-order,omitempty"` // the backup honors BatchRequest.After
}

// PartitionResult describes the records that the backup holds of one partition after a
// batch.
type PartitionResult struct {
	Partition int    `json:"n"`
	Stale     bool   `json:"stale,omitempty"` // the backup does not regard the sender as the primary
	Checksum  uint64 `json:"d"`
	Count     int    `json:"c"`
}

// DigestRequest asks a replica which records it holds of a partition.
type DigestRequest struct {
	From      string `json:"from"`
	Partition int    `json:"n"`
	Epoch     int64  `json:"e"`
	Disk      string `json:"disk,omitempty"` // identity of the receiving disk; empty for any
	// Fence asks the receiver to accept nothing of earlier epochs any more, whatever its
	// role in them, and to answer once this is on its disk.
	Fence bool `json:"fence,omitempty"`
}

// DigestResponse lists the identifiers of the records by state.
type DigestResponse struct {
	IDs map[State][]string `json:"ids"`
	// Outdated means that the replica was out of contact for so long that it may hold
	// messages as pending that have ended.
	Outdated bool `json:"outdated,omitempty"`
}

// FetchRequest asks a replica for records. The response is a PartitionBatch followed by
// the bodies.
type FetchRequest struct {
	Partition int      `json:"n"`
	IDs       []string `json:"ids"`
	// IncludeOutdated requests the pending messages of an outdated replica as well.
	IncludeOutdated bool `json:"outdated-too,omitempty"`
}
