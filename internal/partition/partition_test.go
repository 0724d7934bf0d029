package partition

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestTheLaterStateWinsWhereCopiesDiffer(t *testing.T) {
	pending := &Record{State: Pending, Epoch: 9, Sequence: 9}
	complete := &Record{State: Complete, Epoch: 1, Sequence: 1}
	if pending.newer(complete) || !complete.newer(pending) || !pending.newer(nil) {
		t.Error("an ended message runs again")
	}
	if !(&Record{Epoch: 2, Sequence: 1}).newer(&Record{Epoch: 1, Sequence: 5}) || pending.newer(pending) {
		t.Error("the newer epoch does not win")
	}
	p := &part{records: map[string]*Record{}}
	p.put(&Record{ID: "a"})
	before := p.digest
	p.put(&Record{ID: "b", Sequence: 1})
	p.put(&Record{ID: "b", State: Complete, Sequence: 2})
	if p.digest == before || p.count != 2 {
		t.Error("the digest does not tell the copies apart")
	}
	p.put(&Record{ID: "b", State: Forgotten, Sequence: 3})
	if p.digest != before || p.count != 1 || p.sequence != 3 {
		t.Error("a forgotten record is still counted")
	}
}

func TestADamagedFileIsMovedAsideAndNamed(t *testing.T) {
	dir := t.TempDir()
	d, records, _, err := openDisk(dir, t.Logf)
	if err != nil || len(records) != 0 {
		t.Fatal(err)
	}
	identity := d.identity
	d.db.Close()
	if d, _, _, err = openDisk(dir, t.Logf); err != nil || d.identity != identity {
		t.Fatalf("opened again: %v", err)
	}
	d.db.Close()
	if err := os.WriteFile(filepath.Join(dir, "store.db"), []byte(strings.Repeat("damage", 4096)), 0o600); err != nil {
		t.Fatal(err)
	}
	warned := ""
	d, _, _, err = openDisk(dir, func(format string, args ...any) { warned = format })
	if err != nil || d.identity == identity || !strings.Contains(warned, "damaged") {
		t.Errorf("damaged file: %v, warned %q", err, warned)
	}
	d.db.Close()
	if left, _ := filepath.Glob(filepath.Join(dir, "*.damaged-*")); len(left) != 1 {
		t.Errorf("moved aside: %v", left)
	}
}
