package chain

import (
	"bytes"
	"context"
	"fmt"
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

	"saltreel/internal/boltstore"
	"saltreel/internal/httpwire"
	"saltreel/internal/paxos"
	"saltreel/internal/rpc"
)

// openSingleMember opens a chain of one member.
func openSingleMember(tb testing.TB, path string) *Chain {
	tb.Helper()
	config := testConfig(tb, path, "a")
	config.MaxFailures = 0
	config.ContactTimeout = time.Second
	return openChain(tb, config, "a")
}

func propose(c *Chain, key, value string) error {
	return c.Propose(context.Background(), func(Documents) (Documents, error) { return Documents{key: []byte(value)}, nil })
}

// expectRefusal checks that a core whose disk fails takes no part.
func expectRefusal(t *testing.T, c *Chain) {
	t.Helper()
	if err := propose(c, "x", "2"); err == nil {
		t.Fatal("a refused update is confirmed")
	}
	if _, err := c.HandleStatus(t.Context(), &StatusRequest{Disk: c.Self.Disk}, nil); err == nil {
		t.Error("answers a status request while the disk refuses")
	}
	vote := VoteRequest{Disk: c.Self.Disk, Call: paxos.Request{Instance: 2, Number: paxos.ProposalNumber{Round: 1}}}
	if _, err := c.HandleVote(t.Context(), &vote, nil); err == nil {
		t.Error("votes while the disk refuses")
	}
	if _, err := c.Read(t.Context()); err == nil {
		t.Error("is read while the disk refuses")
	}
}

func sameDocuments(a, b Documents) bool {
	return maps.EqualFunc(a, b, bytes.Equal)
}

// A head whose disk refused an update may have it on the disk all the same: what
// it writes next builds on that, and not beside it under the same sequence.
func TestRefusedUpdateLeavesMemoryAndDiskEqual(t *testing.T) {
	for step, want := range map[string]string{boltstore.StepSync: "2", boltstore.StepCommit: "1"} {
		t.Run(step, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRefusedUpdate(t, step, want) })
		})
	}
}

func testRefusedUpdate(t *testing.T, step, want string) {
	path := filepath.Join(t.TempDir(), "core.db")
	c := openSingleMember(t, path)
	var diskFailing atomic.Bool
	c.config.File.Fault = func(at string) error {
		if diskFailing.Load() && at == step {
			return syscall.EIO
		}
		return nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { c.config.File.Recover(ctx, time.Second); close(done) }()
	if err := propose(c, "x", "1"); err != nil {
		t.Fatal(err)
	}
	diskFailing.Store(true)
	expectRefusal(t, c)
	diskFailing.Store(false)
	time.Sleep(3 * time.Second)
	if err := propose(c, "y", "1"); err != nil {
		t.Fatal(err)
	}
	docs, err := c.Read(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if string(docs["x"]) != want {
		t.Errorf("x is %s", docs["x"])
	}
	cancel()
	<-done
	closeFile(t, c.config.File)
	reopened := openSingleMember(t, path)
	defer closeFile(t, reopened.config.File)
	memory, disk := &c.replica, &reopened.replica
	if memory.sequence != disk.sequence || memory.view.Number != disk.view.Number || memory.completeForView != disk.completeForView ||
		c.Self != reopened.Self || !sameDocuments(docs, disk.docs) {
		t.Errorf("memory held %d %s, the disk %d %s", memory.sequence, fmt.Sprint(docs), disk.sequence, fmt.Sprint(disk.docs))
	}
}

// What is replaced leaves nothing behind on the disk.
func TestFileDoesNotGrowWithUpdates(t *testing.T) {
	path := filepath.Join(t.TempDir(), "core.db")
	c := openSingleMember(t, path)
	defer closeFile(t, c.config.File)
	size := func() int64 {
		s, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		return s.Size()
	}
	before := int64(0)
	for i := range 500 {
		if err := propose(c, "configuration", strings.Repeat(fmt.Sprint(i%10), 20_000+i)); err != nil {
			t.Fatal(err)
		}
		if i == 20 {
			before = size()
		}
	}
	if after := size(); after > before || after > 1<<20 {
		t.Errorf("%d bytes after 20 updates, %d after 500", before, after)
	}
}

// A head that has forwarded nothing since it started may have an old file: what
// it writes would count as newer than what the others hold.
func TestHeadWritesNothingBeforeItsFirstForward(t *testing.T) {
	refuse := func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	config := testConfig(t, filepath.Join(t.TempDir(), "core.db"), "a")
	config.Client = rpc.NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: refuse}})
	c := openChain(t, config, "a", "b")
	defer closeFile(t, config.File)
	for range 3 {
		if err := propose(c, "x", "1"); err == nil {
			t.Error("confirmed by nobody")
		}
	}
	if !c.replica.successorDown {
		t.Error("the successor's machine refused, and counts as up")
	}
	if c.replica.sequence != 0 || len(c.replica.docs) != 0 {
		t.Errorf("wrote %d, %s", c.replica.sequence, c.replica.docs)
	}
}

// One update on a member: a configuration of 20 kB and a placement of 13 kB put
// on disk.
func BenchmarkApplyUpdate(b *testing.B) {
	c := openSingleMember(b, filepath.Join(b.TempDir(), "core.db"))
	defer closeFile(b, c.config.File)
	configuration, placement := bytes.Repeat([]byte("c"), 20_000), bytes.Repeat([]byte("p"), 13_000)
	for b.Loop() {
		u := UpdateRequest{View: c.replica.view, Sequence: c.replica.sequence + 1, Set: Documents{"configuration": configuration, "placement": placement}}
		if err := c.apply(&u); err != nil {
			b.Fatal(err)
		}
	}
}
