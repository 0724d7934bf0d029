// Package placement decides which stores hold the replicas of each partition.
//
// It holds the types of a placement, its encoding, the planner that computes
// the next placement, and the messages about replicas between the stores and
// the control plane. Each partition has a primary and backups (primary-backup
// replication, as in Kafka's in-sync replica sets); every change of them has a
// new epoch, which fences off the messages of earlier primaries.
//
// All functions are pure: they do no I/O, read no clock, and their result
// depends on the arguments alone. The controller in package controller
// observes the stores, calls Plan and commits the result.
package placement

import (
	"maps"
	"slices"

	"saltreel/internal/membership"
)

// Placement says which stores hold each partition.
type Placement struct {
	Version       int64            `json:"version"`
	Term          int64            `json:"term"`     // term of the controller that wrote it
	InitialStores int              `json:"founders"` // number of stores in the first placement
	Partitions    []Partition      `json:"partitions"`
	Stores        map[string]Store `json:"stores"`
}

// Partition is the placement of one partition. A change of its primary or
// backups increments the epoch; replicas reject messages of an earlier epoch.
type Partition struct {
	Epoch            int64    `json:"epoch"`
	PreferredPrimary string   `json:"home"`             // primary while all stores are available
	PreferredBackups []string `json:"beside,omitempty"` // backups while all stores are available
	Primary          string   `json:"primary"`
	Backups          []Backup `json:"backups,omitempty"`
	// Sources lists the stores that hold what the primary lacks, or itself, after a
	// failure that took all replicas in sync: it takes that over before it acts as the
	// primary.
	Sources []string `json:"sources,omitempty"`
	Spans   []Span   `json:"spans,omitempty"` // of the replicas, former ones too, that do not hold everything
}

// Backup is a replica that follows the primary.
type Backup struct {
	Store  string `json:"store"`
	InSync bool   `json:"in-step,omitempty"` // has everything the primary acknowledged, so may become primary
}

// Store is a store that holds replicas, or may hold them.
type Store struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Disk        string `json:"disk"`             // identity of the disk; a store with another disk is empty
	RetireState string `json:"retire,omitempty"` // "", RetireActive or RetireComplete
}

// States of a store that the operator retires.
const (
	RetireActive   = "active"   // its replicas are being moved to other stores
	RetireComplete = "complete" // it holds no replica and may be removed
)

// StoreStatus is what the controller observes of a store.
type StoreStatus struct {
	membership.Node
	Alive bool
}

// Redundancy says how many failures at once a partition must survive.
type Redundancy struct {
	Backups int // stores; also the number of backups of each partition
	Zones   int
	Regions int
}

// BackupIndex returns the index of a store in the backups, or -1 if it is none.
func (p Partition) BackupIndex(store string) int {
	return slices.IndexFunc(p.Backups, func(b Backup) bool { return b.Store == store })
}

// HasReplica reports whether a store holds a replica.
func (p Partition) HasReplica(store string) bool {
	return p.Primary == store || p.BackupIndex(store) >= 0
}

// InSync reports whether the primary holds all records and there are at least that
// many backups, all of them in sync.
func (p Partition) InSync(backups int) bool {
	return len(p.Sources) == 0 && len(p.Backups) >= backups && !slices.ContainsFunc(p.Backups, func(b Backup) bool { return !b.InSync })
}

// IsUpToDate reports whether a store holds all records: as the primary without
// sources, or as a backup that is in sync.
func (p Partition) IsUpToDate(store string) bool {
	i := p.BackupIndex(store)
	return p.Primary == store && len(p.Sources) == 0 || i >= 0 && p.Backups[i].InSync
}

// withoutBackup returns a new list of the backups except for one store.
func (p Partition) withoutBackup(store string) []Backup {
	return slices.DeleteFunc(slices.Clone(p.Backups), func(b Backup) bool { return b.Store == store })
}

// reassign changes the primary, the stores that it has to take records from, and the
// backups in a new epoch. It remembers what the replicas held until then;
// neededBackups is how many a message needs to be accepted.
func (p *Partition) reassign(primary string, sources []string, backups []Backup, neededBackups int) {
	former := *p
	p.Epoch++
	p.Primary = primary
	p.Sources = sources
	p.Backups = backups
	p.Spans = former.nextSpans(p, neededBackups)
	p.pruneSpans(neededBackups)
}

// Clone returns a deep copy of what a plan changes: the partitions with their
// backups, and the stores.
func (p Placement) Clone() Placement {
	p.Partitions = slices.Clone(p.Partitions)
	for i := range p.Partitions {
		partition := &p.Partitions[i]
		partition.Backups = slices.Clone(partition.Backups)
		partition.Sources = slices.Clone(partition.Sources)
		partition.Spans = slices.Clone(partition.Spans)
	}
	p.Stores = maps.Clone(p.Stores)
	return p
}

// IsReplicaOrSource reports whether a store holds a replica of any partition, or what a primary has to
// take over.
func IsReplicaOrSource(p Placement, store string) bool {
	return slices.ContainsFunc(p.Partitions, func(partition Partition) bool {
		return partition.HasReplica(store) || slices.Contains(partition.Sources, store)
	})
}

// hasSpan reports whether a store may hold what the replicas of a partition lack.
func (p *Placement) hasSpan(store string) bool {
	return slices.ContainsFunc(p.Partitions, func(partition Partition) bool {
		return slices.ContainsFunc(partition.Spans, func(s Span) bool { return s.Store == store })
	})
}
