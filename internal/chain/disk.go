package chain

import (
	"bytes"
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/boltstore"
	"saltreel/internal/paxos"
	"saltreel/internal/rpc"
)

var (
	bucketState = []byte("state")
	bucketDocs  = []byte("documents")
	bucketVotes = []byte("votes")
)

// Open takes the file whose state Found makes and Load reads.
func (c *Chain) Open(file *boltstore.File) {
	c.db, c.docs, c.write, c.answered = file, Documents{}, make(chan struct{}, 1), map[Member]time.Time{}
	c.strangers, c.life, c.moved = map[Member]bool{}, rand.Int64(), make(chan struct{})
	c.Acceptor.Storage = (*acceptorStorage)(c)
}

// Found makes the state on an empty disk. There founders (if any) become the
// first view.
func (c *Chain) InitState(tx *bbolt.Tx, founders []string) error {
	for _, b := range [][]byte{bucketState, bucketDocs, bucketVotes} {
		if _, err := tx.CreateBucketIfNotExists(b); err != nil {
			return err
		}
	}
	s := tx.Bucket(bucketState)
	if s.Get([]byte("disk")) != nil {
		return nil
	}
	first := Chain{Self: Member{Disk: crand.Text()}}
	if slices.Contains(founders, c.Self.Address) {
		first.Self.Disk = founder
		for _, a := range slices.Sorted(slices.Values(founders)) {
			first.view.Members = append(first.view.Members, Member{a, founder, 1})
		}
		first.view.Number, first.view.Voters, first.whole = 1, first.view.Members, 1
	}
	return errors.Join(s.Put([]byte("disk"), []byte(first.Self.Disk)), first.saveView(tx))
}

// Load reads the state. Install puts it into memory, once no pass is under way:
// a write that was refused here may be on the disk, and then it is a write like
// any other that has not reached the tail.
func (c *Chain) Load(tx *bbolt.Tx) (install func(), err error) {
	s, docs, view := tx.Bucket(bucketState), Documents{}, View{}
	disk := string(s.Get([]byte("disk")))
	if err := json.Unmarshal(s.Get([]byte("view")), &view); err != nil {
		return nil, fmt.Errorf("the view: %w", err)
	}
	sequence, err := strconv.ParseInt(string(s.Get([]byte("sequence"))), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("the number of the last write: %w", err)
	}
	whole, err := strconv.ParseInt(string(s.Get([]byte("whole"))), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("the view held in whole: %w", err)
	}
	err = tx.Bucket(bucketDocs).ForEach(func(k, v []byte) error {
		docs[string(k)] = bytes.Clone(v)
		return nil
	})
	return func() {
		c.write <- struct{}{}
		defer c.unlock()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.Self.Disk == "" {
			c.Self.Disk = disk
		}
		c.view, c.sequence, c.whole, c.docs, c.active = view, sequence, whole, docs, false
	}, err
}

// works tells whether the disk takes writes, and memory says what it does.
func (c *Chain) works() error {
	if err := c.db.Err(); err != nil {
		return &rpc.StatusError{Code: 503, Text: "the disk refuses writes: " + err.Error()}
	}
	return nil
}

// ahead tells whether this member holds everything, and more than a pass. The
// members before it hold all that it does, so such a pass is late, or comes from
// a disk with an old file put back.
func (c *Chain) ahead(p *UpdateRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := p.View.at(c.Self)
	kept := p.View.Number == c.view.Number || i >= 0 && p.View.Members[i].Since <= c.view.Number
	return kept && c.whole == c.view.Number && p.Sequence < c.sequence
}

// behind notes that this disk does not hold everything, whatever it says. The
// right to write is held.
func (c *Chain) behind(next Member) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.whole != 0 {
		c.Log.Printf("chain: %s holds more than this disk, which was put back", next.Address)
	}
	c.whole, c.active = 0, false
	err := fmt.Errorf("pass down the chain: %s holds more than this disk", next.Address)
	return errors.Join(err, c.db.Update(c.saveView))
}

func (c *Chain) saveView(tx *bbolt.Tx) error {
	s := tx.Bucket(bucketState)
	view, _ := json.Marshal(c.view)
	// Decrees that are settled need no votes any more: HandleBallot refuses them.
	votes := tx.Bucket(bucketVotes)
	var old [][]byte
	err := votes.ForEach(func(k, _ []byte) error {
		if n, err := strconv.ParseInt(string(k), 10, 64); err != nil || n <= c.view.Number {
			old = append(old, bytes.Clone(k))
		}
		return nil
	})
	for _, k := range old {
		err = errors.Join(err, votes.Delete(k))
	}
	return errors.Join(err, s.Put([]byte("view"), view),
		s.Put([]byte("sequence"), strconv.AppendInt(nil, c.sequence, 10)),
		s.Put([]byte("whole"), strconv.AppendInt(nil, c.whole, 10)))
}

// acceptorStorage keeps the states of the acceptor in the same file.
type acceptorStorage Chain

func (a *acceptorStorage) LoadState(instance int64) (state paxos.AcceptorState, err error) {
	err = a.db.View(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket(bucketVotes).Get(strconv.AppendInt(nil, instance, 10)); raw != nil {
			return json.Unmarshal(raw, &state)
		}
		return nil
	})
	return state, err
}

func (a *acceptorStorage) SaveState(instance int64, state paxos.AcceptorState) error {
	raw, err := json.Marshal(state)
	if err != nil {
		return err
	}
	return a.db.Update(func(tx *bbolt.Tx) error {
		// A view that was adopted meanwhile took its states away: one that came
		// after them would start anew, without the promise made before.
		var settled View
		if err := json.Unmarshal(tx.Bucket(bucketState).Get([]byte("view")), &settled); err != nil {
			return err
		}
		if instance <= settled.Number {
			return &rpc.StatusError{Code: 409, Text: fmt.Sprintf("view %d is settled", settled.Number)}
		}
		return tx.Bucket(bucketVotes).Put(strconv.AppendInt(nil, instance, 10), raw)
	})
}
