package registry

import (
	"context"
	"fmt"

	"saltreel/internal/chain"
	"saltreel/internal/distribution"
	"saltreel/internal/handler"
	"saltreel/internal/journal"
	"saltreel/internal/timeutil"
)

// RecordInstance records a heartbeat that a handler instance sent to this core. It
// returns nil once the heartbeat may be acknowledged: if the instance is draining,
// its tombstone is then on the disks of a quorum. The error is a *NoQuorumError.
func (r *Registry) RecordInstance(ctx context.Context, in handler.Instance) error {
	version := journal.Version{Major: in.CallSeq}
	if in.State != handler.Ready {
		version.Major += majorDraining
	}
	entry := Entry{Key: distribution.PrefixInstance + in.ID, Version: version, Value: journal.Encode(in)}
	if entry.isTombstone() {
		return r.recordTombstone(ctx, entry)
	}
	if r.table.mergeHeartbeat(entry) {
		r.broadcast(entry)
	}
	return nil
}

// Deregister permanently removes an instance, whether or not this core knows it. It
// returns nil once the tombstone is on the disks of a quorum. The error is a
// *NoQuorumError, in which case the deregistration may still take effect.
func (r *Registry) Deregister(ctx context.Context, id string) error {
	version := journal.Version{Major: majorDeregistered}
	return r.recordTombstone(ctx, Entry{Key: distribution.PrefixInstance + id, Version: version, Value: nullValue})
}

// recordTombstone returns nil once a tombstone is on the disks of a quorum. If that
// is already known, it returns without calling other cores.
func (r *Registry) recordTombstone(ctx context.Context, entry Entry) error {
	r.table.mergeHeartbeat(entry)
	if r.table.isConfirmed(entry) {
		return nil
	}
	if err := r.persistOnQuorum(ctx, entry); err != nil {
		return err
	}
	r.table.confirm(entry)
	r.broadcast(entry)
	return nil
}

// persistOnQuorum returns nil once a tombstone is on the disks of a majority of the
// voters, and of more voters than may fail at once.
func (r *Registry) persistOnQuorum(ctx context.Context, entry Entry) error {
	ctx, cancel := context.WithTimeout(ctx, r.timing.quorumTimeout())
	defer cancel()
	for {
		err := r.persistUnderView(ctx, entry, r.config.Chain.View())
		if err == nil {
			return nil
		}
		timeutil.Sleep(ctx, r.timing.quorumRetryDelay()) // the voters may be changing
		if ctx.Err() != nil {
			return &NoQuorumError{err}
		}
	}
}

// persistUnderView makes one attempt with the voters of a view.
func (r *Registry) persistUnderView(ctx context.Context, entry Entry, view chain.View) error {
	ctx, cancel := context.WithTimeout(ctx, r.timing.quorumAttemptTimeout())
	defer cancel()
	results := make(chan error, len(view.Voters))
	for _, voter := range view.Voters {
		r.config.Go(func(context.Context) { results <- r.persistAt(ctx, voter, entry, view.QuorumEpoch) })
	}
	needed := max(len(view.Voters)/2+1, r.config.HostFailures+1)
	var lastErr error
	for pending := len(view.Voters); pending >= needed; pending-- {
		if err := <-results; err != nil {
			lastErr = err
			continue
		}
		needed--
		if needed == 0 {
			return nil
		}
	}
	return fmt.Errorf("quorum epoch %d: %w", view.QuorumEpoch, lastErr)
}

// persistAt writes a tombstone to the disk of one voter.
func (r *Registry) persistAt(ctx context.Context, voter chain.Member, entry Entry, epoch int64) error {
	entries := []Entry{entry}
	if voter.Address == r.config.Address {
		return r.persistForEpoch(epoch, entries)
	}
	var out SyncResponse
	request := SyncRequest{From: r.config.Address, Entries: entries, PersistForEpoch: &epoch}
	if err := r.config.Client.Call(ctx, voter.Address, pathSync, request, nil, &out); err != nil {
		return err
	}
	if out.Disk != voter.Disk {
		return fmt.Errorf("voter %s has a different disk", voter.Address)
	}
	return nil
}

// persistForEpoch persists tombstones as a voter of a quorum epoch. The epoch is
// checked again after the write, so that a core that loads for the next epoch does not
// miss the tombstones: its request carries the next view and thereby ends this epoch
// here. If it arrives before the second check, that check fails; if it arrives later,
// the response contains the tombstones.
func (r *Registry) persistForEpoch(epoch int64, entries []Entry) error {
	if err := r.checkEpoch(epoch); err != nil {
		return err
	}
	if err := r.merge(entries); err != nil {
		return err
	}
	return r.checkEpoch(epoch)
}

// checkEpoch returns a *WrongEpochError unless the epoch is in force and this core is
// complete for it.
func (r *Registry) checkEpoch(epoch int64) error {
	inForce := r.config.Chain.View().QuorumEpoch
	complete := r.completeness.completedEpoch()
	if inForce != epoch || complete < epoch {
		return &WrongEpochError{Requested: epoch, InForce: inForce, Complete: complete}
	}
	return nil
}
