package partition

import (
	"bytes"
	"context"
	"io"
	"log"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/boltstore"
	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
	"saltreel/internal/rpc"
)

func TestTheLaterStateWinsWhereCopiesDiffer(t *testing.T) {
	pending := &Record{State: Pending, Epoch: 9, Sequence: 9}
	complete := &Record{State: Complete, Epoch: 1, Sequence: 1}
	if pending.supersedes(complete) || !complete.supersedes(pending) || !pending.supersedes(nil) {
		t.Error("an ended message runs again")
	}
	if !(&Record{Epoch: 2, Sequence: 1}).supersedes(&Record{Epoch: 1, Sequence: 5}) || pending.supersedes(pending) {
		t.Error("the newer epoch does not win")
	}
	p, s := &partition{records: map[string]*Record{}}, &Manager{}
	s.putLocked(p, &Record{ID: "a"})
	before, held := p.checksum, s.memoryBytes
	s.putLocked(p, &Record{ID: "b", Sequence: 1, Body: make([]byte, 100)})
	s.putLocked(p, &Record{ID: "b", State: Complete, Sequence: 2})
	if p.checksum == before || p.count != 2 {
		t.Error("the digest does not tell the copies apart")
	}
	s.putLocked(p, &Record{ID: "b", State: Deleted, Sequence: 3})
	if p.checksum != before || p.count != 1 || p.sequence != 3 || s.memoryBytes != held {
		t.Error("a forgotten record is still counted")
	}
}

// open makes a set that backs up partition 0 of another store.
func open(t *testing.T) *Manager {
	t.Helper()
	s := &Manager{Self: "me", ContactTimeout: 4 * time.Second, Log: log.New(io.Discard, "", 0), StateRetention: time.Minute,
		ReportFailure: func(string, bool) {}, ReportInSync: func(context.Context, placement.InSyncReport) error { return nil },
		Client: rpc.NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: func(context.Context, string) (net.Conn, error) { return nil, io.EOF }}})}
	if err := s.Open(t.TempDir()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = s.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	s.ApplyPlacement(placement.Placement{Version: 1, Stores: map[string]placement.Store{"me": {Disk: s.DiskID()}},
		Partitions: []placement.Partition{{Epoch: 5, Primary: "other", Backups: []placement.Backup{{Store: "me", InSync: true}}}}})
	return s
}

func TestACopyRefusesOlderEpochsAndFollowsNewerOnes(t *testing.T) {
	s := open(t)
	for _, c := range []struct {
		from  string
		epoch int64
		stale bool
	}{{"other", 4, true}, {"third", 5, true}, {"other", 5, false}, {"third", 7, false}, {"other", 5, true}, {"third", 7, false}} {
		out, err := s.HandleBatch(t.Context(), &BatchRequest{From: c.from, Partitions: []PartitionBatch{{Partition: 0, Epoch: c.epoch, Records: []*Record{{ID: "x", Epoch: c.epoch, Sequence: 1}}}}}, nil)
		if err != nil || len(out.Partitions) != 1 || out.Partitions[0].Stale != c.stale {
			t.Errorf("%+v: %+v %v", c, out, err)
		}
	}
	if err := s.Accept(t.Context(), 0, &Record{ID: "y"}); rpc.StatusCode(err) != 421 {
		t.Errorf("a backup takes messages: %v", err)
	}
	if s.MayDeliver(0) {
		t.Error("a backup delivers")
	}
}

// What a digest shows may be answered with 202, so a copy that has it in memory
// only says nothing until its disk has it, whoever asks.
func TestACopyAnswersOnlyForWhatIsOnDisk(t *testing.T) {
	s := open(t)
	tx, err := s.storage.db.Begin(true) // the disk hangs
	if err != nil {
		t.Fatal(err)
	}
	copied := func(b *BatchRequest, limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := s.HandleBatch(ctx, b, nil)
		return err
	}
	if copied(&BatchRequest{From: "other", Partitions: []PartitionBatch{{Epoch: 5, Records: []*Record{{ID: "x", Epoch: 5, Sequence: 1}}}}}, 50*time.Millisecond) == nil {
		t.Error("a message is said to be on a disk that hangs")
	}
	next := &BatchRequest{From: "third", Partitions: []PartitionBatch{{Epoch: 6}}}
	if copied(next, 50*time.Millisecond) == nil {
		t.Error("the next primary is told of a message that is on no disk here")
	}
	if err := tx.Rollback(); err != nil {
		t.Fatal(err)
	}
	if err := copied(next, time.Minute); err != nil { // a real disk, on a busy machine
		t.Errorf("the disk works again: %v", err)
	}
}

func TestTimesFollowTheClockOfTheCopy(t *testing.T) {
	s := open(t)
	hour := time.Hour.Milliseconds()
	now := s.Now()
	_, err := s.HandleBatch(t.Context(), &BatchRequest{From: "other", Now: now + hour, Partitions: []PartitionBatch{{Epoch: 5, Records: []*Record{{ID: "x", Sequence: 1, Due: now + hour + 2000, Expires: now + hour + 90000}}}}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	r := s.partitions[0].records["x"]
	if d := r.Due - now; d < 1900 || d > 3000 {
		t.Errorf("due in %d ms, not 2000, behind a clock that is an hour ahead", d)
	}
	if d := r.Expires - now; d < 89000 || d > 91000 {
		t.Errorf("expires in %d ms, not 90000", d)
	}
}

func TestAPrimaryRefusesWhatItMustNotTake(t *testing.T) {
	s := open(t)
	s.ApplyPlacement(placement.Placement{Version: 2, Stores: map[string]placement.Store{"me": {Disk: s.DiskID()}},
		Partitions: []placement.Partition{{Epoch: 6, Primary: "me", Backups: []placement.Backup{{Store: "other"}}}}})
	s.mu.Lock()
	s.putLocked(s.partitions[0], &Record{ID: "z", Tenant: "a"})
	s.mu.Unlock()
	if err := s.Accept(t.Context(), 0, &Record{ID: "z", Tenant: "b"}); rpc.StatusCode(err) != 409 {
		t.Errorf("another tenant's id: %v", err)
	}
	s.storage.mu.Lock()
	s.storage.refused = os.ErrClosed
	s.storage.mu.Unlock()
	if err := s.Accept(t.Context(), 0, &Record{ID: "y"}); rpc.StatusCode(err) != 421 {
		t.Errorf("a disk that takes no writes: %v", err)
	}
	s.storage.mu.Lock()
	s.storage.refused = nil
	s.storage.mu.Unlock()
	s.mu.Lock()
	if s.partitions[0].records["y"] != nil {
		t.Error("a message was taken for a disk that takes no writes")
	}
	s.MaxMemory = 1
	s.memoryBytes = 2
	s.measureLocked()
	s.mu.Unlock()
	if err := s.Accept(t.Context(), 0, &Record{ID: "y"}); rpc.StatusCode(err) != 503 {
		t.Errorf("a full store: %v", err)
	}
}

func TestADamagedFileIsMovedAsideAndNamed(t *testing.T) {
	dir := t.TempDir()
	d, records, _, err := openStorage(dir, t.Logf)
	if err != nil || len(records) != 0 {
		t.Fatal(err)
	}
	identity := d.identity
	d.db.Close()
	if d, _, _, err = openStorage(dir, t.Logf); err != nil || d.identity != identity {
		t.Fatalf("opened again: %v", err)
	}
	d.db.Close()
	path := filepath.Join(dir, "store.db")
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := 2 * os.Getpagesize(); i < len(raw); i++ { // all but the first two pages
		raw[i] = byte(i * 7)
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	warned := ""
	d, _, _, err = openStorage(dir, func(format string, args ...any) { warned = format })
	if err != nil || d.identity == identity || !strings.Contains(warned, "damaged") {
		t.Errorf("damaged file: %v, warned %q", err, warned)
	}
	d.db.Close()
	if left, _ := filepath.Glob(filepath.Join(dir, "*.damaged-*")); len(left) != 1 {
		t.Errorf("moved aside: %v", left)
	}
}

func TestAHandoverWaitsForABackupThatMayBeInStepByNow(t *testing.T) {
	s := open(t)
	s.ApplyPlacement(placement.Placement{Version: 2, Stores: map[string]placement.Store{"me": {Disk: s.DiskID()}},
		Partitions: []placement.Partition{{Epoch: 6, Primary: "me", Backups: []placement.Backup{{Store: "other"}}}}})
	idle := func(int) bool { return true }
	for _, c := range []struct {
		paired, released bool
		outcomes, given  int
	}{{true, true, 1, 0}, {true, false, 0, 0}, {true, true, 0, 1}, {false, false, 1, 1}} {
		s.mu.Lock()
		p := s.partitions[0]
		r := p.replicas[0]
		r.connected, r.leaseReleased, r.unreplicated = c.paired, c.released, map[string]*Record{}
		p.deliveriesStopped, p.acceptsStopped = true, true
		for range c.outcomes {
			r.unreplicated["x"] = &Record{ID: "x", State: Complete}
		}
		given := p.released()
		p.deliveriesStopped, p.acceptsStopped = false, false
		s.mu.Unlock()
		if given != (c.given == 1) {
			t.Errorf("%+v: given %v", c, given)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	s.mu.Lock()
	s.partitions[0].replicas[0].connected = true
	s.mu.Unlock()
	if out := s.Freeze(ctx, map[int]int64{0: 6}, idle); len(out) != 0 {
		t.Errorf("handed over without an answer: %v", out)
	}
}

func TestALateBatchGivesNoLeaseBack(t *testing.T) {
	s := open(t)
	granted := func(number int64, release bool) bool {
		b := &BatchRequest{From: "other", Number: number, Partitions: []PartitionBatch{{Partition: 0, Epoch: 5, ReleaseLease: release}}}
		if out, err := s.HandleBatch(t.Context(), b, nil); err != nil || out.Partitions[0].Stale {
			t.Fatalf("batch %d: %+v %v", number, out, err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Now().Before(s.partitions[0].leaseExpires)
	}
	const other = 7 * batchesPerIncarnation
	for _, c := range []struct {
		number        int64
		release, want bool
		why           string
	}{
		{other + 1, false, true, "granted"},
		{other + 3, false, true, "granted again, while batch 2 is on its way"},
		{other + 2, true, true, "batch 2 comes late"},
		{2*other + 1, true, true, "of another life"},
		{other + 4, true, false, "given back"},
		{other + 3, false, false, "batch 3 once more"},
		{other + 4, true, false, "batch 4 once more"},
		{2*other + 2, false, true, "granted to a new life"},
		{2*other + 3, true, false, "given back by it"},
	} {
		if got := granted(c.number, c.release); got != c.want {
			t.Errorf("%s: granted %v", c.why, got)
		}
	}
}

func TestAHandoverAskedForTwiceLastsAsTheSecondSays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := open(t)
		s.ApplyPlacement(placement.Placement{Version: 2, Stores: map[string]placement.Store{"me": {Disk: s.DiskID()}},
			Partitions: []placement.Partition{{Epoch: 6, Primary: "me"}}})
		frozen := func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.partitions[0].deliveriesStopped && s.partitions[0].acceptsStopped
		}
		for _, which := range []string{"first", "second"} {
			if out := s.Freeze(t.Context(), map[int]int64{0: 6}, func(int) bool { return true }); len(out) != 1 {
				t.Fatalf("the %s call: %v", which, out)
			}
			time.Sleep(s.ContactTimeout * 3 / 16)
		}
		if !frozen() { // contact/4 after the first
			t.Error("the first lets the partition go on while the second is relied on")
		}
		time.Sleep(s.ContactTimeout / 8)
		if frozen() {
			t.Error("no new placement came, and the partition does not go on")
		}
	})
}

func TestADiskThatHangsOrSlowsDownIsIll(t *testing.T) {
	d := &storage{}
	for what, c := range map[string]struct {
		began time.Time
		usual time.Duration
		ill   bool
	}{"idle": {ill: false}, "writing": {time.Now(), time.Millisecond, false}, "hangs": {time.Now().Add(-time.Second), time.Millisecond, true}, "slow": {usual: 200 * time.Millisecond, ill: true}} {
		d.writeStarted, d.writeTime = c.began, c.usual
		if err := d.health(250*time.Millisecond, 80*time.Millisecond); (err != nil) != c.ill {
			t.Errorf("%s: %v", what, err)
		}
	}
	closed, err := boltstore.OpenDatabase(filepath.Join(t.TempDir(), "other.db"))
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	d.db = closed // refuses every write
	if err := d.commit([]change{{key: []byte("k")}}); err == nil {
		t.Error("a refused write is not told")
	}
}

// What the disk cannot read may be whole: it is not moved aside.
func TestAFileThatTheDiskCannotReadStays(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "store.db"), 0o755); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := openStorage(dir, t.Logf); err == nil {
		t.Error("opened a folder")
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*.damaged-*")); len(left) != 0 {
		t.Errorf("moved aside: %v", left)
	}
}

// A store measures its file while the writer grows it or closes it.
func TestAFileIsMeasuredWhileItGrowsAndCloses(t *testing.T) {
	d, _, _, err := openStorage(t.TempDir(), t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for i := range 64 {
			value := bytes.Repeat([]byte{byte(i)}, 64<<10)
			if err := d.commit([]change{{key: recordKey(0, strconv.Itoa(i)), value: value}}); err != nil {
				t.Error(err)
			}
		}
		cancel()
		_ = d.run(ctx, time.Millisecond, t.Logf)
	})
	most := int64(0)
	for ctx.Err() == nil {
		most = max(most, d.usedBytes())
	}
	tasks.Wait()
	if most < 1<<20 || d.usedBytes() != 0 {
		t.Errorf("at most %d bytes were seen in use, %d after the end", most, d.usedBytes())
	}
}
