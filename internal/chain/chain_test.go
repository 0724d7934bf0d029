package chain

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/boltstore"
	"saltreel/internal/paxos"
	"saltreel/internal/rpc"
)

const contact = 4 * time.Second

// open opens the chain of one core of a, b and c, whose disk is a file.
func open(t *testing.T, path, self string) *Chain {
	t.Helper()
	c := &Chain{
		Self: Member{Address: self}, MaxFailures: 1, ContactTimeout: contact, Log: log.New(io.Discard, "", 0), Acceptor: &paxos.Acceptor{},
		OnUpdate: func(Documents) {}, OnCommit: func(Documents) {}, KnownCores: func() []Member { return nil }, VoterReady: func() bool { return true },
	}
	file := &boltstore.File{Path: path, Load: c.Load, Warn: t.Logf,
		Prepare: func(tx *bbolt.Tx) error { return c.InitState(tx, []string{"a", "b", "c"}) }}
	c.Open(file)
	if err := file.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return c
}

func (c *Chain) take(t *testing.T, p UpdateRequest) (*UpdateResponse, error) {
	t.Helper()
	return c.HandleUpdate(context.Background(), &p, nil)
}

func TestAWholeStateThatComesLateIsRefused(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		for _, life := range []int64{7, 8} { // of the head: the same one, and one after a restart
			path := filepath.Join(t.TempDir(), "core.db")
			c := open(t, path, "c")
			view := c.View()
			whole := UpdateRequest{View: view, Sequence: 1, Snapshot: true, Set: Documents{"k": []byte("old")}, Position: StreamPosition{7, 1}}
			write := UpdateRequest{View: view, Sequence: 2, Set: Documents{"k": []byte("new")}, Position: StreamPosition{life, 2}, CommittedThrough: 1}
			for _, p := range []UpdateRequest{whole, write} {
				if out, err := c.take(t, p); err != nil || out.Gap {
					t.Fatalf("pass %d: %v %v", p.Sequence, out, err)
				}
			}
			if restarted {
				c.db.Close()
				c = open(t, path, "c")
			}
			if out, err := c.take(t, whole); rpc.StatusCode(err) != 409 && (err != nil || !out.Ahead) {
				t.Errorf("restarted %v, head %d: the whole state that came late: %+v, %v", restarted, life, out, err)
			}
			if got := string(c.docs["k"]); got != "new" || c.sequence != 2 {
				t.Errorf("restarted %v, head %d: %q of write %d is held", restarted, life, got, c.sequence)
			}
			// The same pass once more, by a link that doubles, changes nothing.
			if out, err := c.take(t, write); err != nil || !restarted && out.Gap {
				t.Errorf("the last pass again: %v %v", out, err)
			}
		}
	}
}

func TestAPassThatLayInABufferIsNoContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := open(t, filepath.Join(t.TempDir(), "core.db"), "c")
		pass := func(n, back int64) UpdateRequest {
			return UpdateRequest{View: c.View(), Sequence: 1, Snapshot: n == 1, Position: StreamPosition{7, n}, CommittedThrough: back}
		}
		for n := range int64(5) {
			if _, err := c.take(t, pass(n+1, n)); err != nil {
				t.Fatal(err)
			}
			if want := n > 0; c.InContact() != want {
				t.Fatalf("after %d passes: steady %v", n+1, !want)
			}
			time.Sleep(contact / 16)
		}
		time.Sleep(20 * time.Second) // frozen; the next pass lies in its buffer
		if c.InContact() {
			t.Fatal("steady after 20 s without a pass")
		}
		if _, err := c.take(t, pass(6, 5)); err != nil {
			t.Fatal(err)
		}
		if c.InContact() {
			t.Error("steady by a pass that was sent 20 s ago")
		}
		// Once the head has heard the answer it sends the next one.
		if _, err := c.take(t, pass(7, 6)); err != nil || !c.InContact() {
			t.Errorf("not steady again: %v", err)
		}
	})
}

func TestAPromiseOutlivesTheViewThatIsAdoptedMeanwhile(t *testing.T) {
	c := open(t, filepath.Join(t.TempDir(), "core.db"), "b")
	next := c.View()
	next.Number = 2
	promise := paxos.Request{Instance: 2, Number: paxos.ProposalNumber{Round: 5, Proposer: "x"}}
	if r, err := c.Acceptor.Handle(promise); err != nil || !r.Granted {
		t.Fatalf("promise: %v %v", r, err)
	}
	// The call has passed the look at the number of the view when that changes.
	if err := c.InstallView(context.Background(), next); err != nil {
		t.Fatal(err)
	}
	value, _ := json.Marshal(next)
	late := paxos.Request{Instance: 2, Number: paxos.ProposalNumber{Round: 1, Proposer: "y"}, Value: value}
	if r, err := c.Acceptor.Handle(late); err == nil {
		t.Errorf("a vote below the promise, on a decree that is settled: %+v", r)
	}
}
