package chain

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/rpc"

	"go.etcd.io/bbolt"

	"saltreel/internal/boltstore"
	"saltreel/internal/httpwire"
	"saltreel/internal/paxos"
)

// alone is a chain of one member on a file.
func alone(t *testing.T, path string) (*Chain, *boltstore.File) {
	t.Helper()
	c := &Chain{Self: Member{Address: "a"}, ContactTimeout: time.Second, Log: log.New(io.Discard, "", 0), Acceptor: &paxos.Acceptor{},
		OnUpdate: func(Documents) {}, OnCommit: func(Documents) {}, KnownCores: func() []Member { return nil }, VoterReady: func() bool { return true }}
	f := &boltstore.File{Path: path, Warn: t.Logf, Load: c.Load,
		Prepare: func(tx *bbolt.Tx) error { return c.InitState(tx, []string{"a"}) }}
	c.Open(f)
	if err := f.Open(); err != nil {
		t.Fatal(err)
	}
	return c, f
}

func (c *Chain) set(key, value string) error {
	return c.Propose(context.Background(), func(Documents) (Documents, error) { return Documents{key: []byte(value)}, nil })
}

// A head whose disk refused a write has it on the disk all the same: what it
// writes next builds on that, and not beside it under the same number.
func TestARefusedWriteLeavesMemoryAndDiskTheSame(t *testing.T) {
	for _, step := range []string{boltstore.StepSync, boltstore.StepCommit} {
		synctest.Test(t, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "core.db")
			c, f := alone(t, path)
			var full atomic.Bool
			f.Fault = func(at string) error {
				if full.Load() && at == step {
					return syscall.EIO
				}
				return nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { f.Recover(ctx, time.Second); close(done) }()
			if err := c.set("x", "1"); err != nil {
				t.Fatal(err)
			}
			full.Store(true)
			if err := c.set("x", "2"); err == nil {
				t.Fatalf("%s: a refused write is confirmed", step)
			}
			if _, err := c.HandleStatus(ctx, &StatusRequest{Disk: c.Self.Disk}, nil); err == nil {
				t.Errorf("%s: takes part while the disk refuses", step)
			}
			if _, err := c.HandleVote(ctx, &VoteRequest{Disk: c.Self.Disk, Call: paxos.Request{Instance: 2, Number: paxos.ProposalNumber{Round: 1}}}, nil); err == nil {
				t.Errorf("%s: votes while the disk refuses", step)
			}
			if _, err := c.Read(ctx); err == nil {
				t.Errorf("%s: is read while the disk refuses", step)
			}
			full.Store(false)
			time.Sleep(3 * time.Second)
			if err := c.set("y", "1"); err != nil {
				t.Fatal(err)
			}
			docs, err := c.Read(ctx)
			if err != nil {
				t.Fatal(err)
			}
			cancel()
			<-done
			f.Close()
			again, f := alone(t, path)
			defer f.Close()
			if c.sequence != again.sequence || c.view.Number != again.view.Number || c.whole != again.whole || c.Self != again.Self ||
				!maps.EqualFunc(docs, again.docs, func(a, b []byte) bool { return string(a) == string(b) }) {
				t.Errorf("%s: memory held %d %s, the disk %d %s", step, c.sequence, fmt.Sprint(docs), again.sequence, fmt.Sprint(again.docs))
			}
			want := map[string]string{boltstore.StepCommit: "1", boltstore.StepSync: "2"}[step]
			if string(docs["x"]) != want {
				t.Errorf("%s: x is %s", step, docs["x"])
			}
		})
	}
}

// What is replaced leaves nothing behind on the disk.
func TestTheFileDoesNotGrowWithTheChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "core.db")
	c, f := alone(t, path)
	defer f.Close()
	size := func() int64 {
		s, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		return s.Size()
	}
	before := int64(0)
	for i := range 500 {
		if err := c.set("configuration", strings.Repeat(fmt.Sprint(i%10), 20_000+i)); err != nil {
			t.Fatal(err)
		}
		if i == 20 {
			before = size()
		}
	}
	if after := size(); after > before || after > 1<<20 {
		t.Errorf("%d bytes after 20 changes, %d after 500", before, after)
	}
}

// A head that has not passed yet since it started may have an old file: what it
// writes would count as newer than what the others hold.
func TestAHeadWritesNothingBeforeItsFirstPass(t *testing.T) {
	c, f := alone(t, filepath.Join(t.TempDir(), "core.db"))
	defer f.Close()
	c.Client = rpc.NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }}})
	c.view.Members = append(c.view.Members, Member{Address: "b", Disk: founder, Since: 1})
	c.MaxFailures = 1
	for range 3 {
		if err := c.set("x", "1"); err == nil {
			t.Error("confirmed by nobody")
		}
	}
	if c.sequence != 0 || len(c.docs) != 0 {
		t.Errorf("wrote %d, %s", c.sequence, c.docs)
	}
}

// One pass on a member: a configuration of 20 kB and a placement of 13 kB put on
// disk.
func BenchmarkPass(b *testing.B) {
	c := &Chain{Self: Member{Address: "a"}, ContactTimeout: time.Second, Log: log.New(io.Discard, "", 0), Acceptor: &paxos.Acceptor{}}
	f := &boltstore.File{Path: filepath.Join(b.TempDir(), "core.db"), Warn: b.Logf, Load: c.Load,
		Prepare: func(tx *bbolt.Tx) error { return c.InitState(tx, []string{"a"}) }}
	c.Open(f)
	if err := f.Open(); err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	configuration, placement := bytes.Repeat([]byte("c"), 20_000), bytes.Repeat([]byte("p"), 13_000)
	for b.Loop() {
		p := UpdateRequest{View: c.view, Sequence: c.sequence + 1, Set: Documents{"configuration": configuration, "placement": placement}}
		if err := c.apply(p); err != nil {
			b.Fatal(err)
		}
	}
}
