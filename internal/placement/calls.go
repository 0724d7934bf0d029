package placement

// Suspicion is a report that a node cannot be reached.
type FailureReport struct {
	Node    string `json:"node"`
	Refused bool   `json:"refused"` // its machine answers that nothing listens
}

// Suspected tells whether the core that was told places the partitions: the
// others need not be told.
type FailureReportResponse struct {
	Controller bool `json:"steward,omitempty"`
}

// InStep is a primary's report of backups that hold everything.
type InSyncReport struct {
	Replicas []Replica `json:"copies"`
}

// Copy is a backup of a partition in an epoch.
type Replica struct {
	Partition int    `json:"partition"`
	Epoch     int64  `json:"epoch"`
	Store     string `json:"store"`
}

// Handover asks a primary to stop partitions, so that their backups may lead.
type HandoverRequest struct {
	Partitions map[int]int64 `json:"partitions"` // by epoch
}
