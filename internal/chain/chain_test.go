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
	"saltreel/internal/httpwire"
	"saltreel/internal/paxos"
	"saltreel/internal/rpc"
)

const testContactTimeout = 4 * time.Second

// testConfig returns the configuration of a core without reachable peers.
func testConfig(tb testing.TB, path, address string) Config {
	tb.Helper()
	return Config{
		Address:        address,
		HostFailures:   1,
		ContactTimeout: testContactTimeout,
		Client:         rpc.NewClient(&httpwire.Pool{}),
		Log:            log.New(io.Discard, "", 0),
		File:           &boltstore.File{Path: path, Warn: tb.Logf},
		OnUpdate:       func(Documents) {},
		OnCommit:       func(Documents) {},
		KnownCores:     func() []Member { return nil },
		VoterReady:     func() bool { return true },
	}
}

// openChain opens the chain of one core on a file. The caller closes the file.
func openChain(tb testing.TB, config Config, founders ...string) *Chain {
	tb.Helper()
	c, err := New(config)
	if err != nil {
		tb.Fatal(err)
	}
	config.File.Load = c.Load
	config.File.Prepare = func(tx *bbolt.Tx) error { return c.InitState(tx, founders) }
	if err := config.File.Open(); err != nil {
		tb.Fatal(err)
	}
	return c
}

// openMember opens the chain of one of the founders a, b and c.
func openMember(t *testing.T, path, address string) *Chain {
	t.Helper()
	c := openChain(t, testConfig(t, path, address), "a", "b", "c")
	t.Cleanup(func() { closeFile(t, c.config.File) })
	return c
}

func closeFile(tb testing.TB, file *boltstore.File) {
	tb.Helper()
	if err := file.Close(); err != nil {
		tb.Error(err)
	}
}

func handleUpdate(t *testing.T, c *Chain, u UpdateRequest) (*UpdateResponse, error) {
	t.Helper()
	return c.HandleUpdate(t.Context(), &u, nil)
}

func TestNewChecksConfig(t *testing.T) {
	valid := testConfig(t, filepath.Join(t.TempDir(), "core.db"), "a")
	if _, err := New(valid); err != nil {
		t.Fatal(err)
	}
	for name, invalidate := range map[string]func(*Config){
		"no address":             func(c *Config) { c.Address = "" },
		"no contact timeout":     func(c *Config) { c.ContactTimeout = 0 },
		"negative failures":      func(c *Config) { c.HostFailures = -1 },
		"no client":              func(c *Config) { c.Client = nil },
		"no log":                 func(c *Config) { c.Log = nil },
		"no file":                func(c *Config) { c.File = nil },
		"no OnUpdate callback":   func(c *Config) { c.OnUpdate = nil },
		"no OnCommit callback":   func(c *Config) { c.OnCommit = nil },
		"no KnownCores callback": func(c *Config) { c.KnownCores = nil },
		"no VoterReady callback": func(c *Config) { c.VoterReady = nil },
	} {
		config := valid
		invalidate(&config)
		if _, err := New(config); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// A snapshot delayed in a buffer can arrive after a later update of the same view. It must
// not overwrite that update, even if the head or the member has restarted in between.
func TestStaleSnapshotIsRejected(t *testing.T) {
	for _, test := range []struct {
		name            string
		restarted       bool  // the member restarts after the update
		headIncarnation int64 // incarnation that sends the update; the snapshot is from incarnation 7
	}{
		{"same head", false, 7},
		{"restarted head", false, 8},
		{"restarted member", true, 7},
		{"restarted member and head", true, 8},
	} {
		t.Run(test.name, func(t *testing.T) { testStaleSnapshot(t, test.restarted, test.headIncarnation) })
	}
}

func testStaleSnapshot(t *testing.T, restarted bool, headIncarnation int64) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "core.db")
	c := openMember(t, path, "c")
	view := c.View()
	snapshot := UpdateRequest{View: view, Sequence: 1, Snapshot: true, Set: Documents{"k": []byte("old")}, Position: StreamPosition{7, 1}}
	update := UpdateRequest{View: view, Sequence: 2, Set: Documents{"k": []byte("new")}, Position: StreamPosition{headIncarnation, 2}, CommittedThrough: 1}
	for _, u := range []UpdateRequest{snapshot, update} {
		if out, err := handleUpdate(t, c, u); err != nil || out.Gap {
			t.Fatalf("update %d: %v %v", u.Sequence, out, err)
		}
	}
	if restarted {
		closeFile(t, c.config.File)
		c = openMember(t, path, "c")
	}
	if out, err := handleUpdate(t, c, snapshot); StatusCode(err) != 409 && (err != nil || !out.Ahead) {
		t.Errorf("stale snapshot: %+v, %v", out, err)
	}
	if got := string(c.replica.docs["k"]); got != "new" || c.replica.sequence != 2 {
		t.Errorf("the member holds %q of update %d", got, c.replica.sequence)
	}
	// A duplicate of the last update, as a link may deliver it, changes nothing.
	if out, err := handleUpdate(t, c, update); err != nil || !restarted && out.Gap {
		t.Errorf("duplicate of the last update: %v %v", out, err)
	}
}

// An update that was buffered while this process was suspended does not prove contact when it
// is finally read. Otherwise a member would serve state that a newer view may have superseded.
func TestBufferedUpdateProvesNoContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := openMember(t, filepath.Join(t.TempDir(), "core.db"), "c")
		heartbeat := func(number, committedThrough int64) UpdateRequest {
			return UpdateRequest{View: c.View(), Sequence: 1, Snapshot: number == 1, Position: StreamPosition{7, number}, CommittedThrough: committedThrough}
		}
		for n := range int64(5) {
			if _, err := handleUpdate(t, c, heartbeat(n+1, n)); err != nil {
				t.Fatal(err)
			}
			if want := n > 0; c.InContact() != want {
				t.Fatalf("after %d updates: in contact: %v", n+1, !want)
			}
			time.Sleep(testContactTimeout / 16)
		}
		time.Sleep(20 * time.Second) // the process is suspended; the next update is in its buffer
		if c.InContact() {
			t.Fatal("in contact after 20 s without an update")
		}
		if _, err := handleUpdate(t, c, heartbeat(6, 5)); err != nil {
			t.Fatal(err)
		}
		if c.InContact() {
			t.Error("in contact by an update that was sent 20 s earlier")
		}
		// The head sends the next update only after it has received the answer.
		if _, err := handleUpdate(t, c, heartbeat(7, 6)); err != nil || !c.InContact() {
			t.Errorf("not in contact again: %v", err)
		}
	})
}

// Installing a view deletes the acceptor states up to its number. A vote that passed the check
// of the view number just before must not be accepted as if no promise had been made.
func TestPromiseOutlastsViewInstalledMeanwhile(t *testing.T) {
	c := openMember(t, filepath.Join(t.TempDir(), "core.db"), "b")
	next := c.View()
	next.Number = 2
	prepare := paxos.Request{Instance: 2, Number: paxos.ProposalNumber{Round: 5, Proposer: "x"}}
	if r, err := c.acceptor.Handle(prepare); err != nil || !r.Granted {
		t.Fatalf("prepare: %v %v", r, err)
	}
	// The view changes after a request has passed the check of the view number.
	if err := c.InstallView(context.Background(), next); err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(next)
	if err != nil {
		t.Fatal(err)
	}
	stale := paxos.Request{Instance: 2, Number: paxos.ProposalNumber{Round: 1, Proposer: "y"}, Value: value}
	if r, err := c.acceptor.Handle(stale); StatusCode(err) != 409 {
		t.Errorf("vote below the promise on an instance already chosen: %+v, %v", r, err)
	}
}
