package chain

import (
	"bytes"
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"go.etcd.io/bbolt"

	"saltreel/internal/boltstore"
	"saltreel/internal/paxos"
)

// Buckets of the state file, and the keys of bucketState.
var (
	bucketState = []byte("state")
	bucketDocs  = []byte("documents")
	bucketVotes = []byte("votes") // acceptor states by instance

	keyDisk            = []byte("disk")
	keyView            = []byte("view")
	keySequence        = []byte("sequence")
	keyCompleteForView = []byte("whole")
)

// storage reads and writes the durable state of a replica.
type storage struct{ file *boltstore.File }

// err returns ErrDiskFailed while the file is not usable: before it is opened, and after a
// failed write until it has been loaded again, because memory and disk may differ.
func (s storage) err() error {
	if err := s.file.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrDiskFailed, err)
	}
	return nil
}

// writeUpdate writes the state and the documents of an update in one transaction.
// It first deletes the removed documents, which a snapshot replaces.
func (s storage) writeUpdate(state durableState, removed, set Documents) error {
	return s.file.Update(func(tx *bbolt.Tx) error {
		docs := tx.Bucket(bucketDocs)
		for k := range removed {
			if err := docs.Delete([]byte(k)); err != nil {
				return err
			}
		}
		for k, v := range set {
			if err := docs.Put([]byte(k), v); err != nil {
				return err
			}
		}
		return putState(tx, state)
	})
}

func (s storage) writeState(state durableState) error {
	return s.file.Update(func(tx *bbolt.Tx) error { return putState(tx, state) })
}

// putState writes the state. It deletes the acceptor states of chosen views, on which
// HandleVote rejects votes.
func putState(tx *bbolt.Tx, state durableState) error {
	view, err := json.Marshal(state.view)
	if err != nil {
		return fmt.Errorf("encode view: %w", err)
	}
	bucket := tx.Bucket(bucketState)
	return errors.Join(
		deleteAcceptorStates(tx, state.view.Number),
		bucket.Put(keyView, view),
		bucket.Put(keySequence, formatNumber(state.sequence)),
		bucket.Put(keyCompleteForView, formatNumber(state.completeForView)))
}

// deleteAcceptorStates deletes the acceptor states of all instances up to and including
// through, and those whose key is not a number.
func deleteAcceptorStates(tx *bbolt.Tx, through int64) error {
	votes := tx.Bucket(bucketVotes)
	var old [][]byte
	err := votes.ForEach(func(k, _ []byte) error {
		if n, err := parseNumber(k); err != nil || n <= through {
			old = append(old, bytes.Clone(k))
		}
		return nil
	})
	for _, k := range old {
		err = errors.Join(err, votes.Delete(k))
	}
	return err
}

func formatNumber(n int64) []byte { return strconv.AppendInt(nil, n, 10) }

func parseNumber(raw []byte) (int64, error) { return strconv.ParseInt(string(raw), 10, 64) }

// InitState creates the state in an empty file, in a write transaction of the file's
// Prepare. If this core is one of the founders, they are the members of view 1;
// otherwise it knows no view until a peer sends one.
func (c *Chain) InitState(tx *bbolt.Tx, founders []string) error {
	for _, name := range [][]byte{bucketState, bucketDocs, bucketVotes} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	bucket := tx.Bucket(bucketState)
	if bucket.Get(keyDisk) != nil {
		return nil
	}
	disk, state := crand.Text(), durableState{}
	if slices.Contains(founders, c.Self.Address) {
		disk, state = founderDisk, foundingState(founders)
	}
	return errors.Join(bucket.Put(keyDisk, []byte(disk)), putState(tx, state))
}

// foundingState returns the initial state of each founder, which is empty and complete
// for view 1.
func foundingState(founders []string) durableState {
	var members []Member
	for _, address := range slices.Sorted(slices.Values(founders)) {
		members = append(members, Member{Address: address, Disk: founderDisk, SinceView: 1})
	}
	return durableState{view: View{Number: 1, Members: members, Voters: members}, completeForView: 1}
}

// Load reads the state from disk. The returned install function puts it into memory
// when no update is in progress. An update whose write failed may still be on disk; it
// is then treated like any other update that is not committed yet.
func (c *Chain) Load(tx *bbolt.Tx) (install func(), err error) {
	state, err := getState(tx)
	if err != nil {
		return nil, err
	}
	disk := string(tx.Bucket(bucketState).Get(keyDisk))
	docs := Documents{}
	err = tx.Bucket(bucketDocs).ForEach(func(k, v []byte) error {
		docs[string(k)] = bytes.Clone(v)
		return nil
	})
	return func() {
		c.updateLock <- struct{}{}
		defer c.releaseUpdateLock()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.replica.load(disk, state, docs)
		if c.Self.Disk == "" { // set only by the first load
			c.Self.Disk = disk
		}
	}, err
}

// getState reads the state written by putState.
func getState(tx *bbolt.Tx) (state durableState, err error) {
	bucket := tx.Bucket(bucketState)
	if err = json.Unmarshal(bucket.Get(keyView), &state.view); err != nil {
		return state, fmt.Errorf("decode view: %w", err)
	}
	if state.sequence, err = parseNumber(bucket.Get(keySequence)); err != nil {
		return state, fmt.Errorf("parse sequence of the last update: %w", err)
	}
	if state.completeForView, err = parseNumber(bucket.Get(keyCompleteForView)); err != nil {
		return state, fmt.Errorf("parse number of the view for which the state is complete: %w", err)
	}
	return state, nil
}

// acceptorStorage stores the acceptor states in the state file.
type acceptorStorage struct{ file *boltstore.File }

func (a acceptorStorage) LoadState(instance int64) (state paxos.AcceptorState, err error) {
	err = a.file.View(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket(bucketVotes).Get(formatNumber(instance)); raw != nil {
			return json.Unmarshal(raw, &state)
		}
		return nil
	})
	return state, err
}

func (a acceptorStorage) SaveState(instance int64, state paxos.AcceptorState) error {
	raw, err := json.Marshal(state)
	if err != nil {
		return err
	}
	return a.file.Update(func(tx *bbolt.Tx) error {
		// A view installed after the state was loaded has deleted the acceptor states up
		// to its number. Saving a state for such an instance would lose an earlier promise.
		var view View
		if err := json.Unmarshal(tx.Bucket(bucketState).Get(keyView), &view); err != nil {
			return err
		}
		if instance <= view.Number {
			return fmt.Errorf("%w: %d, the newest is %d", ErrViewChosen, instance, view.Number)
		}
		return tx.Bucket(bucketVotes).Put(formatNumber(instance), raw)
	})
}
