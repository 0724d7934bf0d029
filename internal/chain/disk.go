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

	"saltreel/internal/ballot"
	"saltreel/internal/wire"
)

var (
	bucketState = []byte("state")
	bucketDocs  = []byte("documents")
	bucketVotes = []byte("votes")
)

// Open reads the state on disk. With no state there, founders (if any) become
// the first view.
func (c *Chain) Open(db *bbolt.DB, founders []string) error {
	c.db, c.docs, c.write, c.answered = db, Documents{}, make(chan struct{}, 1), map[Member]time.Time{}
	c.strangers, c.life = map[Member]bool{}, rand.Int64()
	err := db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{bucketState, bucketDocs, bucketVotes} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		s := tx.Bucket(bucketState)
		if raw := s.Get([]byte("disk")); raw != nil {
			c.Self.Disk = string(raw)
			if err := json.Unmarshal(s.Get([]byte("view")), &c.view); err != nil {
				return err
			}
			c.sequence, _ = strconv.ParseInt(string(s.Get([]byte("sequence"))), 10, 64)
			c.whole, _ = strconv.ParseInt(string(s.Get([]byte("whole"))), 10, 64)
			return tx.Bucket(bucketDocs).ForEach(func(k, v []byte) error {
				c.docs[string(k)] = bytes.Clone(v)
				return nil
			})
		}
		c.Self.Disk = crand.Text()
		if slices.Contains(founders, c.Self.Address) {
			c.Self.Disk = founder
			for _, a := range slices.Sorted(slices.Values(founders)) {
				c.view.Members = append(c.view.Members, Member{a, founder, 1})
			}
			c.view.Number, c.view.Voters, c.whole = 1, c.view.Members, 1
		}
		return errors.Join(s.Put([]byte("disk"), []byte(c.Self.Disk)), c.saveView(tx))
	})
	if err != nil {
		return fmt.Errorf("open control state: %w", err)
	}
	c.Voter.Disk = (*votes)(c)
	return nil
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

// votes keeps ballots in the same file.
type votes Chain

func (v *votes) LoadVote(decree int64) (vote ballot.Vote, err error) {
	err = v.db.View(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket(bucketVotes).Get(strconv.AppendInt(nil, decree, 10)); raw != nil {
			return json.Unmarshal(raw, &vote)
		}
		return nil
	})
	return vote, err
}

func (v *votes) SaveVote(decree int64, vote ballot.Vote) error {
	raw, err := json.Marshal(vote)
	if err != nil {
		return err
	}
	return v.db.Update(func(tx *bbolt.Tx) error {
		// A view that was adopted meanwhile took its votes away: one that came
		// after them would start anew, without the promise made before.
		var settled View
		if err := json.Unmarshal(tx.Bucket(bucketState).Get([]byte("view")), &settled); err != nil {
			return err
		}
		if decree <= settled.Number {
			return &wire.Status{Code: 409, Text: fmt.Sprintf("view %d is settled", settled.Number)}
		}
		return tx.Bucket(bucketVotes).Put(strconv.AppendInt(nil, decree, 10), raw)
	})
}
