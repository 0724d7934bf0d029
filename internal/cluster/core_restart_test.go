package cluster

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/boltstore"
)

// recoveryLimit is the time within which a restarted core must rejoin (sync-time-s).
const recoveryLimit = 8 * time.Second

// runCores runs a test on a cluster of three cores without other roles, once all
// cores are members and voters.
func runCores(t *testing.T, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, t.TempDir(), 1, "10.1.0.1", "10.2.0.1", "10.3.0.1")
		for i, z := range zones {
			w.addMachine("core-"+z, "core", z, w.coreAddresses[i], true)
		}
		defer w.stopAll()
		w.waitForFullView("the first view")
		f(w)
	})
}

// waitForFullView waits until all three cores are members and voters.
func (w *world) waitForFullView(what string) {
	w.t.Helper()
	w.waitFor(recoveryLimit, what, func() bool { m, v := w.viewSize(); return m == 3 && v == 3 })
}

func (w *world) databaseFile(name string) string {
	return filepath.Join(w.machines[name].dataPath, "core.db")
}

// diskID returns the disk identity of a voter as reported by the tail, or "" if the
// core is no voter.
func (w *world) diskID(name string) string {
	s, err := w.status()
	for _, v := range s.View.Voters {
		if err == nil && v.Address == w.machines[name].ip+":7100" {
			return v.Disk
		}
	}
	return ""
}

func (w *world) readDatabase(name string) []byte {
	w.t.Helper()
	raw, err := os.ReadFile(w.databaseFile(name))
	if err != nil {
		w.t.Fatal(err)
	}
	return raw
}

func (w *world) writeDatabase(name string, raw []byte) {
	w.t.Helper()
	if err := os.WriteFile(w.databaseFile(name), raw, 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// makeChanges writes n configurations in sequence and returns the last.
func (w *world) makeChanges(n int, every time.Duration) (last []byte) {
	w.t.Helper()
	for i := range n {
		last = w.changeConfiguration("in a row", options{maxAttempts: 2 + i%5})
		time.Sleep(every)
	}
	return last
}

// verifyWithout checks that the other cores return the configuration while the named
// core is down, and restarts that core.
func (w *world) verifyWithout(name string, want []byte) {
	w.t.Helper()
	w.killMachine(name)
	w.verifyConfiguration("without "+name, want)
	w.startMachine(name, false)
	w.waitForFullView(name + " is back")
}

// A core that was down during ten minutes of writes and deregistrations rejoins, and
// the databases of the other cores do not grow with the number of changes.
func TestCoreCatchesUpAfterTenMinutesOfChanges(t *testing.T) {
	runCores(t, func(w *world) {
		w.makeChanges(5, 0)
		w.killMachine("core-z1") // the head
		w.makeChanges(10, time.Second)
		before := len(w.readDatabase("core-z2"))
		handlers := &service{world: w, name: "plain"}
		for i := range 290 { // writes, and tombstones that expire
			if code := handlers.callCore("DELETE", fmt.Sprint("gone-", i), ""); code != 200 {
				t.Fatalf("deregistration %d: %d", i, code)
			}
			w.makeChanges(1, 2*time.Second)
		}
		if after := len(w.readDatabase("core-z2")); after > before+1<<20 {
			t.Errorf("the database grew from %d to %d bytes with 290 changes, limit 1 MiB", before, after)
		}
		// Writes continue while the core rejoins.
		w.startMachine("core-z1", false)
		began := time.Now()
		w.makeChanges(10, 200*time.Millisecond)
		w.waitForFullView("the core is back")
		t.Logf("rejoined within %v", time.Since(began))
		last := w.makeChanges(3, 0)
		w.verifyWithout("core-z2", last)
		w.verifyWithout("core-z3", last)
	})
}

// A core with a corrupt database starts empty, serves no operator before it has
// rejoined, and moves the corrupt file aside.
func TestCoreWithCorruptDatabaseRejoinsEmpty(t *testing.T) {
	runCores(t, func(w *world) {
		want := w.makeChanges(5, 0)
		for _, powerLoss := range []bool{false, true} { // only this core restarts, or all cores do
			oldDisk := w.diskID("core-z1")
			for _, z := range zones {
				if powerLoss || z == "z1" {
					w.killMachine("core-" + z)
				}
			}
			raw := w.readDatabase("core-z1")
			w.writeDatabase("core-z1", append(bytes.Repeat([]byte{0xA5}, len(raw)/2), raw[len(raw)/2:]...))
			w.startMachine("core-z1", true) // bootstrap is still set in the settings file
			if powerLoss {
				time.Sleep(3 * time.Second)
				w.verifyDamagedCoreRefuses(t)
				w.startMachine("core-z2", false)
				w.startMachine("core-z3", false)
			}
			w.waitForNewDisk("core-z1", oldDisk, recoveryLimit)
			if !boltstore.WasReplaced(w.databaseFile("core-z1")) {
				t.Error("the corrupt file was not moved aside")
			}
			w.verifyConfiguration("after the core with the corrupt file rejoined", want)
			want = w.makeChanges(2, 0)
			w.verifyWithout("core-z2", want)
		}
	})
}

func (w *world) verifyDamagedCoreRefuses(t *testing.T) {
	t.Helper()
	for range 2 {
		if code := w.putConfiguration("10.1.0.1:82", 0, w.configuration(1, options{})); code == 200 || code == 412 {
			t.Errorf("the core with the corrupt file answers the operator with %d", code)
		}
	}
}

// waitForNewDisk waits until all three cores are members and voters and the named
// one has another disk identity than oldDisk.
func (w *world) waitForNewDisk(name, oldDisk string, limit time.Duration) {
	w.t.Helper()
	w.waitFor(limit, name+" is back on another disk", func() bool {
		members, voters := w.viewSize()
		disk := w.diskID(name)
		return members == 3 && voters == 3 && disk != "" && disk != oldDisk
	})
}

// A core that detects the corruption of its database while running continues as an
// empty core and rejoins.
func TestCoreWithDatabaseCorruptedWhileRunningRejoinsEmpty(t *testing.T) {
	for _, z := range zones { // head, middle and tail
		runCores(t, func(w *world) {
			w.makeChanges(3, 0)
			name := "core-" + z
			oldDisk := w.diskID(name)
			if err := os.Truncate(w.databaseFile(name), int64(2*os.Getpagesize())); err != nil {
				t.Fatal(err)
			}
			last := w.makeChanges(3, time.Second)
			w.waitForNewDisk(name, oldDisk, 2*recoveryLimit)
			for _, other := range zones {
				if other != z {
					w.verifyWithout("core-"+other, last)
				}
			}
		})
	}
}

// restoreCase is one way in which a core restarts without part of the state that it
// had acknowledged.
type restoreCase struct {
	name        string
	viewChanged bool // the view has changed since the file was copied
	powerLoss   bool // of all cores
	writes      bool // operators write while the core rejoins
	wiped       bool // the database is missing, and bootstrap is set as at the first start
}

// An old copy of a database has the same disk identity as the file that it replaces.
// A core that restarts with such a copy is treated as one that lost its disk: it does
// not lead, not even in the view recorded in the copy.
func TestCoreWithRestoredOldDatabaseDoesNotLead(t *testing.T) {
	for _, c := range []restoreCase{
		{name: "the view changed", viewChanged: true},
		{name: "the view changed and all power was lost", viewChanged: true, powerLoss: true},
		{name: "the same view, all power was lost", powerLoss: true},
		{name: "the same view, back at once"},
		{name: "the same view, back at once under writes", writes: true},
		{name: "wiped and bootstrap, all power was lost", powerLoss: true, wiped: true},
		{name: "wiped and bootstrap, back at once under writes", writes: true, wiped: true},
	} {
		for _, z := range zones {
			t.Run(c.name+", core-"+z, func(t *testing.T) {
				runCores(t, func(w *world) { w.verifyRestoredCore(c, z) })
			})
		}
	}
}

func (w *world) verifyRestoredCore(c restoreCase, zone string) {
	w.t.Helper()
	w.makeChanges(3, 0)
	name := "core-" + zone
	old := w.readDatabase(name)
	if c.viewChanged {
		w.killMachine(name)
		w.makeChanges(2, 2*time.Second)
		w.startMachine(name, false)
		w.waitForFullView("the core is back with its current database")
	}
	last := w.makeChanges(8, 0)
	w.restoreDatabase(c, zone, old)
	if c.writes {
		last = w.makeChanges(20, 20*time.Millisecond)
	}
	w.verifyConfiguration("with the old database restored", last)
	w.waitForFullView("all are members")
	last = w.makeChanges(2, 0)
	for _, other := range otherZones(zone) {
		w.verifyWithout("core-"+other, last)
	}
}

// restoreDatabase kills one core or all cores, restores an old database of the core
// in the given zone and restarts them, that core first.
func (w *world) restoreDatabase(c restoreCase, zone string, old []byte) {
	w.t.Helper()
	for _, z := range zones {
		if c.powerLoss || z == zone {
			w.killMachine("core-" + z)
		}
	}
	name := "core-" + zone
	w.writeDatabase(name, old)
	if c.wiped {
		w.wipeDisk(name)
	}
	w.startMachine(name, c.wiped)
	if !c.powerLoss {
		return
	}
	time.Sleep(500 * time.Millisecond)
	for _, z := range otherZones(zone) {
		w.startMachine("core-"+z, false)
	}
}

func otherZones(zone string) (others []string) {
	for _, z := range zones {
		if z != zone {
			others = append(others, z)
		}
	}
	return others
}

// A core that is killed repeatedly during the snapshot transfer restarts the transfer
// and does not lead with a partial snapshot. The kills are spread over the time that
// joining takes.
func TestCoreKilledDuringSnapshotTransferJoinsAgain(t *testing.T) {
	runCores(t, func(w *world) {
		w.makeChanges(5, 0)
		w.killMachine("core-z1")
		last := w.makeChanges(5, time.Second)
		joined := 0
		for after := 100 * time.Millisecond; after < 1500*time.Millisecond; after += 35 * time.Millisecond {
			w.startMachine("core-z1", false)
			time.Sleep(after)
			if m, _ := w.viewSize(); m == 3 {
				joined++
			}
			w.killMachine("core-z1")
			last = w.makeChanges(1, 1500*time.Millisecond)
			w.verifyConfiguration("after a kill", last)
		}
		if joined == 0 || joined == 40 {
			t.Errorf("the core had joined before %d of 40 kills; want some kills before and some after joining", joined)
		}
		w.startMachine("core-z1", false)
		w.waitForFullView("the core is back")
		w.verifyWithout("core-z3", last)
		w.verifyWithout("core-z2", last)
	})
}

// A core that cannot open its database answers 503, can be stopped, and rejoins once
// the disk is available again.
func TestCoreWaitsForUnavailableDisk(t *testing.T) {
	runCores(t, func(w *world) {
		w.makeChanges(2, 0)
		w.killMachine("core-z1")
		data := w.machines["core-z1"].dataPath
		if err := os.Rename(data, data+"-away"); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(data, nil, 0o600); err != nil { // a file in place of the data directory
			t.Fatal(err)
		}
		w.startMachine("core-z1", false)
		time.Sleep(5 * time.Second)
		code := 0
		for try := 0; try < 3 && code == 0; try++ { // a pooled connection to the previous process may break
			code = w.putConfiguration("10.1.0.1:82", 0, w.configuration(1, options{}))
		}
		if code != 503 {
			t.Errorf("the core without its disk answers %d, want 503", code)
		}
		last := w.changeConfiguration("without it", options{maxAttempts: 4})
		if took := w.terminateMachine("core-z1"); took > time.Second {
			t.Errorf("stopping took %v, limit 1s", took)
		}
		w.startMachine("core-z1", false)
		time.Sleep(time.Second)
		// Wait until no attempt to open the database is in progress: it would create
		// the data directory between Remove and Rename.
		synctest.Wait()
		if err := os.Remove(data); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(data+"-away", data); err != nil {
			t.Fatal(err)
		}
		w.waitForFullView("the core rejoins once its disk is available")
		w.verifyWithout("core-z2", last)
	})
}
