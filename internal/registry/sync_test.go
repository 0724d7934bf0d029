package registry

import (
	"context"
	"errors"
	"io"
	"log"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/boltstore"
	"saltreel/internal/chain"
	"saltreel/internal/journal"
)

// fakeChain is a chain that is in contact, with a view set by the test.
type fakeChain struct{ view chain.View }

func (f *fakeChain) View() chain.View            { return f.view }
func (f *fakeChain) InContact() bool             { return true }
func (f *fakeChain) InContactFor() time.Duration { return time.Hour }

func (f *fakeChain) Voters() []string {
	var out []string
	for _, m := range f.view.Voters {
		out = append(out, m.Address)
	}
	return out
}

func (f *fakeChain) InstallView(_ context.Context, view chain.View) error {
	f.view = view
	return nil
}

// unreachable is a Caller whose calls all fail.
type unreachable struct{}

func (unreachable) Call(context.Context, string, string, any, []byte, any) error {
	return errors.New("unreachable")
}

// newTestRegistry makes the registry of core "a" with a database in a temporary directory.
func newTestRegistry(t *testing.T, view chain.View) *Registry {
	t.Helper()
	file := &boltstore.File{Path: filepath.Join(t.TempDir(), "core.db"), BatchDelay: time.Millisecond, Warn: t.Logf}
	r, err := New(Config{
		Address: "a", Self: func() chain.Member { return members("a")[0] }, Chain: &fakeChain{view}, Client: unreachable{}, Storage: file,
		Journal: journal.New("a", time.Hour, ""), ContactTimeout: 100 * time.Millisecond, KeepaliveInterval: time.Second,
		Log: log.New(io.Discard, "", 0), Go: func(task func(context.Context)) { go task(t.Context()) },
	})
	if err != nil {
		t.Fatal(err)
	}
	file.Prepare, file.Load = r.InitState, r.LoadState
	if err := file.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	return r
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	if _, err := New(Config{Address: "a", ContactTimeout: time.Second, KeepaliveInterval: time.Second}); err == nil {
		t.Error("New accepted a config without components")
	}
	if _, err := New(Config{}); err == nil {
		t.Error("New accepted a config without an address")
	}
}

func TestSyncSendsValuesOnceAndResendsLostOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestTable("a")
		b := &Registry{
			config: Config{Chain: &fakeChain{}, Self: func() chain.Member { return chain.Member{} }, OnNodeChanged: func() {}},
			table:  newTestTable("b"), tombstones: newTombstones(nil),
		}
		heartbeat := func(sequence int64, state string) Entry {
			return Entry{Key: "instance/i", Version: journal.Version{Major: sequence}, Value: journal.Encode(map[string]any{"oper-state": state, "call-seq": sequence})}
		}
		sent := sentVersions{}
		sync := func(received bool) (values int) {
			time.Sleep(time.Second)
			entries, _ := a.updatedSince(time.Time{}, sent.of)
			for _, entry := range entries {
				sent[entry.Key] = entry.Version
				if entry.Value != nil {
					values++
				}
			}
			if received {
				out, _ := b.HandleSync(t.Context(), &SyncRequest{Entries: entries}, nil)
				for _, key := range out.MissingValues {
					delete(sent, key)
				}
			}
			return values
		}
		a.merge(heartbeat(1, "ready"))
		if n := sync(true); n != 1 {
			t.Errorf("the first exchange carries %d values, want 1", n)
		}
		a.merge(heartbeat(2, "ready"))
		if n := sync(true); n != 0 {
			t.Errorf("an unchanged value was sent again")
		}
		a.merge(heartbeat(3, "draining"))
		sync(false) // lost, but recorded as sent
		a.merge(heartbeat(4, "draining"))
		sync(true)
		sync(true)
		if raw := valueOf(b.table, "instance/i"); !strings.Contains(string(raw), "draining") {
			t.Errorf("the lost change was not sent again: %s", raw)
		}
		if n := sync(true); n != 0 {
			t.Errorf("a known value was sent again")
		}
	})
}

func TestSyncProgressResendsMissingValuesOnly(t *testing.T) {
	p := newSyncProgress()
	_, sent := p.begin("b")
	at := time.Now()
	entries := []Entry{{Key: "known", Version: version(3, 0)}, {Key: "missing", Version: version(4, 0)}}
	p.advance("b", at, sent, entries, []string{"missing"})
	after, sent := p.begin("b")
	if !after.Equal(at) || p.version(sent, "known") != version(3, 0) || p.version(sent, "missing") != unsent {
		t.Errorf("after %v: %v", after, sent)
	}
}

func TestDeregistrationIsOnDiskBeforeItIsAcknowledged(t *testing.T) {
	r := newTestRegistry(t, chain.View{Voters: members("a"), QuorumEpoch: 1})
	if r.VoterReady() || r.InContactWithQuorum() {
		t.Error("a core that has not loaded reports ready")
	}
	if err := r.load(t.Context()); err == nil || r.VoterReady() {
		t.Errorf("the only voter, not complete, reports ready: %v", err)
	}
	if err := r.raiseCompleteEpoch(1); err != nil {
		t.Fatal(err)
	}
	if err := r.load(t.Context()); err != nil || !r.VoterReady() || !r.InContactWithQuorum() {
		t.Errorf("the only voter, complete, does not report ready: %v", err)
	}
	if err := r.Deregister(t.Context(), "i"); err != nil {
		t.Fatal(err)
	}
	var onDisk []Entry
	var epoch int64
	err := r.config.Storage.(*boltstore.File).View(func(tx *bbolt.Tx) (err error) {
		onDisk, epoch, err = readTombstones(tx)
		return err
	})
	if err != nil || epoch != 1 || len(onDisk) != 1 || onDisk[0].Key != "instance/i" || onDisk[0].stage() != 2 || !isNull(onDisk[0].Value) {
		t.Errorf("on disk, for epoch %d: %+v, %v", epoch, onDisk, err)
	}
	if n, err := r.tombstones.purge([]string{"instance/i", "instance/other", "node/n"}); n != 1 || err != nil {
		t.Errorf("%d tombstones purged, want 1: %v", n, err)
	}
}

func TestTombstoneIsPersistedForItsEpochOnly(t *testing.T) {
	r := newTestRegistry(t, chain.View{Voters: members("a", "b", "c"), QuorumEpoch: 3})
	entry := Entry{Key: "instance/i", Version: version(majorDeregistered, 0), Value: nullValue}
	var wrongEpoch *WrongEpochError
	if err := r.persistForEpoch(3, []Entry{entry}); !errors.As(err, &wrongEpoch) || wrongEpoch.Complete != 0 {
		t.Errorf("core that is not complete: %v", err)
	}
	if err := r.raiseCompleteEpoch(3); err != nil {
		t.Fatal(err)
	}
	if err := r.persistForEpoch(2, []Entry{entry}); !errors.As(err, &wrongEpoch) || wrongEpoch.InForce != 3 {
		t.Errorf("epoch that has ended: %v", err)
	}
	if err := r.persistForEpoch(3, []Entry{entry}); err != nil {
		t.Errorf("epoch in force: %v", err)
	}
	var noQuorum *NoQuorumError
	if err := r.Deregister(t.Context(), "j"); !errors.As(err, &noQuorum) {
		t.Errorf("without the other voters: %v", err)
	}
}
