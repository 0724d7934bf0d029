package registry

import (
	"encoding/json"
	"strings"

	"saltreel/internal/chain"
	"saltreel/internal/distribution"
	"saltreel/internal/journal"
)

// Entry is what the cores send each other about one handler instance or node.
// A value of null says that it is deregistered or has expired.
type Entry struct {
	Key     string          `json:"key"`
	Version journal.Version `json:"version"`
	AgeMs   int64           `json:"age"`             // since the newest heartbeat
	Value   json.RawMessage `json:"value,omitempty"` // left out where it did not change
	Changed journal.Version `json:"changed"`         // when the value last changed, as the sender knows
}

// Deregistration is final: the versions of a draining instance are above all of
// a ready one, and those of a deregistered one above all others. So no late
// heartbeat and no outdated entry brings an instance back, wherever they are merged.
const (
	majorDraining     = int64(1) << 60
	majorDeregistered = int64(1) << 61
)

// stage is how far an instance is on its way out: 0 while it is ready, 1 when
// it is draining, 2 when it is deregistered.
type stage int64

func (e Entry) stage() stage { return stage(e.Version.Major / majorDraining) }

// isTombstone says whether an entry must outlive the cores that hold it before
// it is acknowledged.
func (e Entry) isTombstone() bool {
	return e.stage() > 0 && isInstance(e.Key)
}

func isInstance(key string) bool { return strings.HasPrefix(key, distribution.PrefixInstance) }

func isNode(key string) bool { return strings.HasPrefix(key, distribution.PrefixNode) }

// nullValue is the value of an entry that is no longer there.
var nullValue = json.RawMessage("null")

func isNull(value json.RawMessage) bool { return string(value) == "null" }

// SyncRequest is one exchange of anti-entropy between two cores.
type SyncRequest struct {
	From    string  `json:"from"` // internal address of the sender
	Entries []Entry `json:"items,omitempty"`
	Want    string  `json:"ask,omitempty"` // what the response is to contain: WantAll, WantTombstones, WantPage or nothing
	// After is the key behind which the page begins, with WantPage.
	After string `json:"after,omitempty"`
	// View is the newest view that the sender knows, with WantAll and WantTombstones:
	// the receiver has installed it, or a newer one, before it answers.
	View *chain.View `json:"view,omitempty"`
	// PersistForEpoch asks to put the entries on disk as a voter of this quorum
	// epoch, and to fail when the receiver is not in that epoch.
	PersistForEpoch *int64 `json:"keep,omitempty"`
}

// What a SyncRequest may want.
const (
	WantAll        = "all" // asked by programs of earlier versions
	WantTombstones = "leavings"
	WantPage       = "page"
)

// SyncResponse answers a SyncRequest.
type SyncResponse struct {
	Disk          string      `json:"disk"` // identity of the disk that the receiver's tombstones are on
	Entries       []Entry     `json:"items,omitempty"`
	MissingValues []string    `json:"want,omitempty"` // keys whose value the receiver does not know
	View          *chain.View `json:"view,omitempty"` // with WantAll and WantTombstones
	CompleteEpoch int64       `json:"complete,omitempty"`
	Loaded        bool        `json:"loaded,omitempty"` // with WantPage: the receiver has loaded all entries itself
	More          bool        `json:"more,omitempty"`   // with WantPage: others follow
}
