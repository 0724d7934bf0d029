// Package placement decides which stores hold the replicas of each partition.
//
// It defines the placement and its encoding, the planner that computes the next
// placement, and the RPC messages about replicas between the stores and the
// control plane. Each partition has a primary and backups (primary-backup
// replication with in-sync replica sets, as in Kafka). Every change of the
// replicas starts a new epoch, which fences off messages of earlier primaries.
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

// Placement maps each partition to the stores that hold its replicas.
type Placement struct {
	Version       int64            `json:"version"`  // increases with each change
	Term          int64            `json:"term"`     // term of the controller that wrote it
	InitialStores int              `json:"founders"` // number of stores in the first placement
	Partitions    []Partition      `json:"partitions"`
	Stores        map[string]Store `json:"stores"` // by name
}

// Partition is the placement of one partition. Each reassignment of its primary, backups
// or sources increments the epoch; replicas reject messages of earlier epochs.
type Partition struct {
	Epoch            int64    `json:"epoch"`
	PreferredPrimary string   `json:"home"`             // primary while all stores are available
	PreferredBackups []string `json:"beside,omitempty"` // backups while all stores are available
	Primary          string   `json:"primary"`
	Backups          []Backup `json:"backups,omitempty"`
	// Sources lists the stores from which the primary has to copy the records that it
	// may lack before it acts as the primary. It is set after a failure of all in-sync
	// replicas. A primary that lacks nothing, but was not in sync, is its own source.
	Sources []string `json:"sources,omitempty"`
	Spans   []Span   `json:"spans,omitempty"` // of current and former replicas that may lack records
}

// Backup is a replica that follows the primary.
type Backup struct {
	Store  string `json:"store"`
	InSync bool   `json:"in-step,omitempty"` // holds every acknowledged record, so it may become primary
}

// Store describes a store that holds replicas or may be assigned some.
type Store struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Disk        string `json:"disk"`             // identity of the disk; a store that comes back with another one is empty
	RetireState string `json:"retire,omitempty"` // "", RetireActive or RetireComplete
}

// Values of Store.RetireState for a store that the operator retires.
const (
	RetireActive   = "active"   // its replicas are being moved to other stores
	RetireComplete = "complete" // it holds no replica and may be removed
)

// StoreStatus is the state of a store as the controller observes it.
type StoreStatus struct {
	membership.Node
	Alive bool
}

// Redundancy is the number of simultaneous failures, by failure domain, that a
// partition must survive.
type Redundancy struct {
	Backups int // failed stores; also the number of backups of each partition
	Zones   int
	Regions int
}

// BackupIndex returns the index of a store in the backups, or -1 if the store is not
// a backup.
func (p Partition) BackupIndex(store string) int {
	return slices.IndexFunc(p.Backups, func(b Backup) bool { return b.Store == store })
}

// HasReplica reports whether a store is the primary or a backup.
func (p Partition) HasReplica(store string) bool {
	return p.Primary == store || p.BackupIndex(store) >= 0
}

// InSync reports whether the primary holds all records and the partition has at least
// the given number of backups, all of them in sync.
func (p Partition) InSync(backups int) bool {
	return len(p.Sources) == 0 && len(p.Backups) >= backups && !slices.ContainsFunc(p.Backups, func(b Backup) bool { return !b.InSync })
}

// IsUpToDate reports whether a store holds all records, either as a primary without
// sources or as an in-sync backup.
func (p Partition) IsUpToDate(store string) bool {
	i := p.BackupIndex(store)
	return p.Primary == store && len(p.Sources) == 0 || i >= 0 && p.Backups[i].InSync
}

// withoutBackup returns a copy of the backups without the given store.
func (p Partition) withoutBackup(store string) []Backup {
	return slices.DeleteFunc(slices.Clone(p.Backups), func(b Backup) bool { return b.Store == store })
}

// reassign replaces the primary, its sources and the backups, and starts a new epoch.
// It records in Spans what the previous replicas hold; neededBackups is the number of
// backups without which no message is accepted.
func (p *Partition) reassign(primary string, sources []string, backups []Backup, neededBackups int) {
	former := *p
	p.Epoch++
	p.Primary = primary
	p.Sources = sources
	p.Backups = backups
	p.Spans = former.nextSpans(p, neededBackups)
	p.pruneSpans(neededBackups)
}

// Clone copies the placement and everything that Plan modifies in place. Slices that
// are only ever replaced, such as PreferredBackups, are shared with the original.
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

// IsReplicaOrSource reports whether a store holds a replica of any partition or is a
// source from which a primary still has to copy records.
func IsReplicaOrSource(p Placement, store string) bool {
	return slices.ContainsFunc(p.Partitions, func(partition Partition) bool {
		return partition.HasReplica(store) || slices.Contains(partition.Sources, store)
	})
}

// hasSpan reports whether a store may hold records that the replicas of some partition
// lack.
func (p *Placement) hasSpan(store string) bool {
	return slices.ContainsFunc(p.Partitions, func(partition Partition) bool {
		return slices.ContainsFunc(partition.Spans, func(s Span) bool { return s.Store == store })
	})
}
