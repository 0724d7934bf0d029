package chain

import "saltreel/internal/paxos"

// Documents is the replicated state by key. Updates replace whole values.
type Documents map[string][]byte

// UpdateRequest is sent by a member to its successor. It is an update, which may set
// several documents; a snapshot of the sender's state, if Snapshot is set; or a
// heartbeat, if it has neither.
type UpdateRequest struct {
	View     View           `json:"view"`
	Sequence int64          `json:"sequence"` // of the last update that the sender holds; never decreases within a view
	Snapshot bool           `json:"all,omitempty"`
	Set      Documents      `json:"set,omitempty"`
	Position StreamPosition `json:"stamp"`
	// CommittedThrough is the Position.Number of the last request of this head that
	// all members have answered.
	CommittedThrough int64 `json:"back,omitempty"`
}

// StreamPosition orders the requests that one incarnation of a head sends along the
// chain.
type StreamPosition struct {
	Head   int64 `json:"head"` // random incarnation number, chosen when the process starts
	Number int64 `json:"number"`
}

// UpdateResponse answers an UpdateRequest. The zero value means that the successor and
// all members behind it hold everything that the sender holds.
type UpdateResponse struct {
	Gap   bool `json:"gap,omitempty"`   // the successor needs a snapshot
	Ahead bool `json:"ahead,omitempty"` // the successor is complete and holds later updates than the sender
}

// StatusRequest requests the ReplicaStatus of a core. It carries the newest view that
// the sender knows, which the receiver installs.
type StatusRequest struct {
	Disk string `json:"disk"` // of the receiver; any other disk at its address rejects the request
	View View   `json:"view"`
}

// ReplicaStatus is the state of a core with respect to the chain.
type ReplicaStatus struct {
	View         View `json:"view"`
	NextAccepted bool `json:"next"`  // its acceptor may have accepted a value for the next view
	Complete     bool `json:"whole"` // the core is a member and holds every committed update
	VoterReady   bool `json:"ready"` // the core holds everything that a voter must hold
	// CompleteForView is the newest view for which the disk holds every committed update,
	// or 0 if there is none.
	CompleteForView int64 `json:"whole-for,omitempty"`
}

// SnapshotRequest requests the state on the disk of a core.
type SnapshotRequest struct {
	Disk string `json:"disk"` // of the receiver; any other disk at its address rejects the request
}

// Snapshot is the state on the disk of a core.
type Snapshot struct {
	CompleteForView int64     `json:"whole-for"` // as in ReplicaStatus
	Sequence        int64     `json:"sequence"`  // of the last update
	Documents       Documents `json:"set"`
}

// VoteRequest is a Paxos request for the acceptor of a voter.
type VoteRequest struct {
	Disk string        `json:"disk"` // of the voter; any other disk at its address rejects the request
	Call paxos.Request `json:"call"`
}
