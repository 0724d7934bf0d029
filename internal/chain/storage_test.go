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

// openSingleMember opens a chain with a single member.
func openSingleMember(tb testing.TB, path string) *Chain {
	tb.Helper()
	config := testConfig(tb, path, "a")
	config.HostFailures = 0
	config.ContactTimeout = time.Second
	return openChain(tb, config, "a")
}

func propose(c *Chain, key, value string) error {
	return c.Propose(context.Background(), func(Documents) (Documents, error) { return Documents{key: []byte(value)}, nil })
}

// expectRefusal checks that a core whose disk fails serves no requests.
func expectRefusal(t *testing.T, c *Chain) {
	t.Helper()
	if err := propose(c, "x", "2"); err == nil {
		t.Fatal("an update whose write failed was acknowledged")
	}
	if _, err := c.HandleStatus(t.Context(), &StatusRequest{Disk: c.Self.Disk}, nil); err == nil {
		t.Error("status request answered while disk writes fail")
	}
	vote := VoteRequest{Disk: c.Self.Disk, Call: paxos.Request{Instance: 2, Number: paxos.ProposalNumber{Round: 1}}}
	if _, err := c.HandleVote(t.Context(), &vote, nil); err == nil {
		t.Error("vote granted while disk writes fail")
	}
	if _, err := c.Read(t.Context()); err == nil {
		t.Error("read answered while disk writes fail")
	}
}

func sameDocuments(a, b Documents) bool {
	return maps.EqualFunc(a, b, bytes.Equal)
}

// An update whose write failed may still be on the disk of the head. The next update must be
// based on the state on disk: otherwise two different updates have the same sequence.
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
		t.Errorf("memory holds update %d, %s; the disk update %d, %s", memory.sequence, fmt.Sprint(docs), disk.sequence, fmt.Sprint(disk.docs))
	}
}

// Replaced values must be freed on disk. Otherwise the file grows with every update.
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

// A head that has not forwarded an update since its start may hold an old file. An update
// based on it would supersede newer state of the other members.
func TestHeadWritesNothingBeforeItsFirstForward(t *testing.T) {
	refuse := func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	config := testConfig(t, filepath.Join(t.TempDir(), "core.db"), "a")
	config.Client = rpc.NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: refuse}})
	c := openChain(t, config, "a", "b")
	defer closeFile(t, config.File)
	for range 3 {
		if err := propose(c, "x", "1"); err == nil {
			t.Error("acknowledged without an answer of the successor")
		}
	}
	if !c.replica.successorDown {
		t.Error("the successor's machine refused the connection and is not recorded as down")
	}
	if c.replica.sequence != 0 || len(c.replica.docs) != 0 {
		t.Errorf("the head wrote update %d: %s", c.replica.sequence, c.replica.docs)
	}
}

// BenchmarkApplyUpdate writes one update with a configuration of 20 kB and a placement
// of 13 kB to disk.
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
