package chain

import "saltreel/internal/paxos"

// Documents is the replicated state: whole values by key.
type Documents map[string][]byte

// UpdateRequest is what a member sends to its successor: one update, which may
// set several documents; or with Snapshot the whole state of the sender; or with
// neither a heartbeat.
type UpdateRequest struct {
	View     View           `json:"view"`
	Sequence int64          `json:"sequence"` // of the last update that the sender holds; it only rises within a view
	Snapshot bool           `json:"all,omitempty"`
	Set      Documents      `json:"set,omitempty"`
	Position StreamPosition `json:"stamp"`
	// CommittedThrough is the number of the last request of this head that all
	// members have answered.
	CommittedThrough int64 `json:"back,omitempty"`
}

// StreamPosition orders the requests that one incarnation of a head sends down
// the chain.
type StreamPosition struct {
	Head   int64 `json:"head"` // the incarnation, chosen at random when the process starts
	Number int64 `json:"number"`
}

// UpdateResponse answers an UpdateRequest. The zero value says that the sender's
// successor and all members behind it hold what the sender holds.
type UpdateResponse struct {
	Gap   bool `json:"gap,omitempty"`   // the successor needs a snapshot
	Ahead bool `json:"ahead,omitempty"` // the successor is complete and holds more than the sender
}

// StatusRequest asks a core for its ReplicaStatus. It carries the newest view
// that the sender knows, so that views spread with the requests.
type StatusRequest struct {
	Disk string `json:"disk"` // of the core that is asked; another disk at its address refuses
	View View   `json:"view"`
}

// ReplicaStatus is what a core knows of the chain.
type ReplicaStatus struct {
	View         View `json:"view"`
	NextAccepted bool `json:"next"`  // its acceptor may have accepted a value for the view after this one
	Complete     bool `json:"whole"` // it is a member and holds every update that was ever committed
	VoterReady   bool `json:"ready"` // it knows what a voter must know
	// CompleteForView is the newest view for which its disk holds every update that was
	// committed; 0 if there is none.
	CompleteForView int64 `json:"whole-for,omitempty"`
}

// SnapshotRequest asks a core for the state on its disk.
type SnapshotRequest struct {
	Disk string `json:"disk"` // of the core that is asked; another disk at its address refuses
}

// Snapshot is the state on the disk of a core.
type Snapshot struct {
	CompleteForView int64     `json:"whole-for"` // as in ReplicaStatus
	Sequence        int64     `json:"sequence"`  // of the last update
	Documents       Documents `json:"set"`
}

// VoteRequest is a step of Paxos for the acceptor of one voter.
type VoteRequest struct {
	Disk string        `json:"disk"` // of the voter; another disk at its address refuses
	Call paxos.Request `json:"call"`
}
