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

// recoveryLimit is how long a core that comes back may take (sync-time-s).
const recoveryLimit = 8 * time.Second

// runCores runs a test on three cores alone, once all are members and voters.
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

// diskID returns the disk identity of a core that votes, as the tail reports it.
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

// makeChanges writes configurations one after the other and returns the last.
func (w *world) makeChanges(n int, every time.Duration) (last []byte) {
	w.t.Helper()
	for i := range n {
		last = w.changeConfiguration("in a row", options{maxAttempts: 2 + i%5})
		time.Sleep(every)
	}
	return last
}

// verifyWithout reads the configuration while one core is down: the others must
// have it all.
func (w *world) verifyWithout(name string, want []byte) {
	w.t.Helper()
	w.killMachine(name)
	w.verifyConfiguration("without "+name, want)
	w.startMachine(name, false)
	w.waitForFullView(name + " is back")
}

// A core that was down for ten minutes of writes and deregistrations joins again,
// and the databases of the others have not grown with them.
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
			t.Errorf("the state grew from %d to %d bytes with 290 changes", before, after)
		}
		// Writes continue while it comes back.
		w.startMachine("core-z1", false)
		began := time.Now()
		w.makeChanges(10, 200*time.Millisecond)
		w.waitForFullView("the core is back")
		t.Logf("a member again within %v", time.Since(began))
		last := w.makeChanges(3, 0)
		w.verifyWithout("core-z2", last)
		w.verifyWithout("core-z3", last)
	})
}

// A core whose database is corrupt starts empty, answers no operator before it
// has joined again, and moves the damaged file aside.
func TestCoreWithCorruptDatabaseRejoinsEmpty(t *testing.T) {
	runCores(t, func(w *world) {
		want := w.makeChanges(5, 0)
		for _, powerLoss := range []bool{false, true} { // the core alone, or all of them
			oldDisk := w.diskID("core-z1")
			for _, z := range zones {
				if powerLoss || z == "z1" {
					w.killMachine("core-" + z)
				}
			}
			raw := w.readDatabase("core-z1")
			w.writeDatabase("core-z1", append(bytes.Repeat([]byte{0xA5}, len(raw)/2), raw[len(raw)/2:]...))
			w.startMachine("core-z1", true) // the operator has left bootstrap in the settings
			if powerLoss {
				time.Sleep(3 * time.Second)
				w.verifyDamagedCoreRefuses(t)
				w.startMachine("core-z2", false)
				w.startMachine("core-z3", false)
			}
			w.waitForNewDisk("core-z1", oldDisk, recoveryLimit)
			if !boltstore.WasReplaced(w.databaseFile("core-z1")) {
				t.Error("the damaged file was not moved aside")
			}
			w.verifyConfiguration("with the damaged core back", want)
			want = w.makeChanges(2, 0)
			w.verifyWithout("core-z2", want)
		}
	})
}

func (w *world) verifyDamagedCoreRefuses(t *testing.T) {
	t.Helper()
	for range 2 {
		if code := w.putConfiguration("10.1.0.1:82", 0, w.configuration(1, options{})); code == 200 || code == 412 {
			t.Errorf("the core with the damaged file answers the operator with %d", code)
		}
	}
}

// waitForNewDisk waits until all three cores are members and voters, the named
// one with another disk than before.
func (w *world) waitForNewDisk(name, oldDisk string, limit time.Duration) {
	w.t.Helper()
	w.waitFor(limit, name+" is back on another disk", func() bool {
		members, voters := w.viewSize()
		disk := w.diskID(name)
		return members == 3 && voters == 3 && disk != "" && disk != oldDisk
	})
}

// A core that meets the damage only while it runs goes on as an empty one.
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

// restoreCase is one way in which a core comes back with less than what it had
// acknowledged.
type restoreCase struct {
	name        string
	viewChanged bool // the view has changed since the file was copied
	powerLoss   bool // of all cores
	writes      bool // operators write while the core comes back
	wiped       bool // no file at all, and bootstrap as at the first start
}

// An old database put back has the disk identity of the one it replaces. Its
// core counts as one that lost its disk and does not lead, not even in the view
// that it knows.
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
		w.waitForFullView("back with its own file")
	}
	last := w.makeChanges(8, 0)
	w.restoreDatabase(c, zone, old)
	if c.writes {
		last = w.makeChanges(20, 20*time.Millisecond)
	}
	w.verifyConfiguration("with an old file put back", last)
	w.waitForFullView("all are members")
	last = w.makeChanges(2, 0)
	for _, other := range otherZones(zone) {
		w.verifyWithout("core-"+other, last)
	}
}

// restoreDatabase kills a core, or all of them, puts an old database in place
// and starts them again, the others later.
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

// A core that is killed during the snapshot transfer, again and again, starts the
// transfer anew, and does not lead with the part that it got. The kills are
// distributed over the time that joining needs.
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
			t.Errorf("it had joined %d of 40 times", joined)
		}
		w.startMachine("core-z1", false)
		w.waitForFullView("the core is back")
		w.verifyWithout("core-z3", last)
		w.verifyWithout("core-z2", last)
	})
}

// A core that cannot open its database answers 503, can be stopped, and joins again
// once the disk is back.
func TestCoreWaitsForUnavailableDisk(t *testing.T) {
	runCores(t, func(w *world) {
		w.makeChanges(2, 0)
		w.killMachine("core-z1")
		data := w.machines["core-z1"].dataPath
		if err := os.Rename(data, data+"-away"); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(data, nil, 0o600); err != nil { // in place of the folder
			t.Fatal(err)
		}
		w.startMachine("core-z1", false)
		time.Sleep(5 * time.Second)
		code := 0
		for try := 0; try < 3 && code == 0; try++ { // a pooled connection to the previous incarnation may break
			code = w.putConfiguration("10.1.0.1:82", 0, w.configuration(1, options{}))
		}
		if code != 503 {
			t.Errorf("a core without its disk answers %d", code)
		}
		last := w.changeConfiguration("without it", options{maxAttempts: 4})
		if took := w.terminateMachine("core-z1"); took > time.Second {
			t.Errorf("it took %v to stop", took)
		}
		w.startMachine("core-z1", false)
		time.Sleep(time.Second)
		// No attempt of the core to open the disk is under way from here on: it
		// would create the folder between the two steps.
		synctest.Wait()
		if err := os.Remove(data); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(data+"-away", data); err != nil {
			t.Fatal(err)
		}
		w.waitForFullView("the core goes on when the disk does")
		w.verifyWithout("core-z2", last)
	})
}
