package partition

// BatchRequest is what a primary sends to a backup. The bodies of the records
// follow it in the order of the records.
type BatchRequest struct {
	From       string           `json:"from"`
	Number     int64            `json:"no"`              // rises with each batch of one incarnation of the sender
	After      int64            `json:"after,omitempty"` // the batch that is to be applied before it; 0: any
	Now        int64            `json:"now"`             // the sender's clock, ms: machines may not agree on the time
	Disk       string           `json:"disk,omitempty"`  // identity of the disk that the batch is for; empty: any
	Partitions []PartitionBatch `json:"parts"`
}

// PartitionBatch is what a batch holds of one partition.
type PartitionBatch struct {
	Partition    int       `json:"n"`
	Epoch        int64     `json:"e"`
	Now          int64     `json:"now,omitempty"` // the sender's clock, ms, in the answer to a FetchRequest
	Records      []*Record `json:"r,omitempty"`
	ReleaseLease bool      `json:"release,omitempty"` // the primary gives its lease back
	Released     Position  `json:"rel,omitzero"`      // the entries up to here were released
}

// BatchResponse answers a BatchRequest once all of it is on the backup's disk.
type BatchResponse struct {
	Partitions []PartitionResult `json:"parts"`
	InOrder    bool              `json:"in-order,omitempty"` // the backup heeds BatchRequest.After
}

// PartitionResult is what the backup holds of one partition after a batch.
type PartitionResult struct {
	Partition int    `json:"n"`
	Stale     bool   `json:"stale,omitempty"` // the sender is not the primary as far as is known there
	Checksum  uint64 `json:"d"`
	Count     int    `json:"c"`
}

// DigestRequest asks a replica which records it holds of a partition.
type DigestRequest struct {
	From      string `json:"from"`
	Partition int    `json:"n"`
	Epoch     int64  `json:"e"`
	Disk      string `json:"disk,omitempty"` // identity of the disk that is asked; empty: any
}

// DigestResponse lists the identifiers of the records by state.
type DigestResponse struct {
	IDs map[State][]string `json:"ids"`
	// Outdated says that the replica was out of contact for so long that it may hold
	// messages as pending that have ended.
	Outdated bool `json:"outdated,omitempty"`
}

// FetchRequest asks a replica for records. Its answer is a PartitionBatch with
// the bodies behind it.
type FetchRequest struct {
	Partition int      `json:"n"`
	IDs       []string `json:"ids"`
	// IncludeOutdated asks for what an outdated replica holds as pending as well.
	IncludeOutdated bool `json:"outdated-too,omitempty"`
}
