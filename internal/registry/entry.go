package registry

import (
	"encoding/json"
	"strings"

	"saltreel/internal/chain"
	"saltreel/internal/distribution"
	"saltreel/internal/journal"
)

// Entry is the state of one handler instance or node as the cores exchange it.
// The value null means that the instance or node is deregistered or has expired.
type Entry struct {
	Key     string          `json:"key"`
	Version journal.Version `json:"version"`
	AgeMs   int64           `json:"age"`             // time since the newest heartbeat
	Value   json.RawMessage `json:"value,omitempty"` // omitted if unchanged
	Changed journal.Version `json:"changed"`         // version of the last change of the value known to the sender
}

// Deregistration is final: every version of a draining instance is higher than all
// versions of a ready one, and the version of a deregistered instance is higher than
// both. Therefore neither a delayed heartbeat nor an outdated entry can restore an
// instance, in whatever order they are merged.
const (
	majorDraining     = int64(1) << 60
	majorDeregistered = int64(1) << 61
)

// stage is the lifecycle stage of an instance: 0 while it is ready, 1 when it is
// draining, 2 when it is deregistered.
type stage int64

func (e Entry) stage() stage { return stage(e.Version.Major / majorDraining) }

// isTombstone reports whether an entry must be on the disks of a quorum before it
// is acknowledged.
func (e Entry) isTombstone() bool {
	return e.stage() > 0 && isInstance(e.Key)
}

func isInstance(key string) bool { return strings.HasPrefix(key, distribution.PrefixInstance) }

func isNode(key string) bool { return strings.HasPrefix(key, distribution.PrefixNode) }

// nullValue is the value of an entry that has expired or is deregistered.
var nullValue = json.RawMessage("null")

func isNull(value json.RawMessage) bool { return string(value) == "null" }

// SyncRequest is the request of one anti-entropy exchange between two cores.
type SyncRequest struct {
	From    string  `json:"from"` // internal address of the sender
	Entries []Entry `json:"items,omitempty"`
	Want    string  `json:"ask,omitempty"` // requested contents of the response: WantAll, WantTombstones, WantPage or none
	// After is the key after which the page begins. Used with WantPage.
	After string `json:"after,omitempty"`
	// View is the newest view known to the sender. The receiver installs it, unless
	// it has a newer one, before it responds. Used with WantAll and WantTombstones.
	View *chain.View `json:"view,omitempty"`
	// PersistForEpoch asks the receiver to write the entries to disk as a voter of this
	// quorum epoch, and to fail if another epoch is in force there.
	PersistForEpoch *int64 `json:"keep,omitempty"`
}

// Values of SyncRequest.Want.
const (
	WantAll        = "all" // requested by earlier versions only
	WantTombstones = "leavings"
	WantPage       = "page"
)

// SyncResponse is the response to a SyncRequest.
type SyncResponse struct {
	Disk          string      `json:"disk"` // identity of the disk that stores the receiver's tombstones
	Entries       []Entry     `json:"items,omitempty"`
	MissingValues []string    `json:"want,omitempty"` // keys whose value the receiver lacks
	View          *chain.View `json:"view,omitempty"` // with WantAll and WantTombstones
	CompleteEpoch int64       `json:"complete,omitempty"`
	Loaded        bool        `json:"loaded,omitempty"` // with WantPage: the receiver has loaded all entries itself
	More          bool        `json:"more,omitempty"`   // with WantPage: there are further pages
}
