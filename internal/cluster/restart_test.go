package cluster

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/rpc"

	"saltreel/internal/boltstore"
	"saltreel/internal/httpwire"
)

// catchUp is how long a core that comes back may take (sync-time-s).
const catchUp = 8 * time.Second

// runCores runs three cores and nothing else.
func runCores(t *testing.T, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, net: newNetwork(), nodes: map[string]*machine{}, dir: t.TempDir(), losses: 1,
			seeds: []string{"10.1.0.1", "10.2.0.1", "10.3.0.1"}}
		w.outside = &process{net: w.net, ip: "10.9.0.1"}
		w.pool = rpc.NewClient(&httpwire.Pool{Network: w.outside.network()})
		for i, z := range zones {
			w.add("core-"+z, "core", z, w.seeds[i], true)
		}
		defer func() {
			for _, m := range w.nodes {
				m.stop()
			}
			w.tasks.Wait()
		}()
		w.whole("the first view")
		f(w)
	})
}

// whole waits until all three cores are members and voters.
func (w *world) whole(what string) {
	w.t.Helper()
	w.until(catchUp, what, func() bool { m, v := w.cores(); return m == 3 && v == 3 })
}

func (w *world) file(name string) string { return filepath.Join(w.nodes[name].data, "core.db") }

// disk is the disk of a core that votes, as the tail knows it.
func (w *world) disk(name string) string {
	s, err := w.status()
	for _, v := range s.View.Voters {
		if err == nil && v.Address == w.nodes[name].ip+":7100" {
			return v.Disk
		}
	}
	return ""
}

func (w *world) keepFile(name string) []byte {
	w.t.Helper()
	raw, err := os.ReadFile(w.file(name))
	if err != nil {
		w.t.Fatal(err)
	}
	return raw
}

func (w *world) putFile(name string, raw []byte) {
	w.t.Helper()
	if err := os.WriteFile(w.file(name), raw, 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// many makes changes one after the other, and gives the last.
func (w *world) many(n int, every time.Duration) (last []byte) {
	w.t.Helper()
	for i := range n {
		last = w.change("in a row", options{attempts: 2 + i%5})
		time.Sleep(every)
	}
	return last
}

// readWithout reads back while one core is down: the others hold it all.
func (w *world) readWithout(name string, want []byte) {
	w.t.Helper()
	w.kill(name)
	w.readBack("without "+name, want)
	w.start(name, false)
	w.whole(name + " is back")
}

func TestACoreCatchesUpAfterTenMinutesOfChanges(t *testing.T) {
	runCores(t, func(w *world) {
		w.many(5, 0)
		w.kill("core-z1") // the head
		w.many(10, time.Second)
		before := len(w.keepFile("core-z2"))
		leavers := &service{w: w, name: "plain"}
		for i := range 290 { // changes, and leavings that come and are forgotten
			if code := leavers.call("DELETE", fmt.Sprint("gone-", i), ""); code != 200 {
				t.Fatalf("leaving %d: %d", i, code)
			}
			w.many(1, 2*time.Second)
		}
		if after := len(w.keepFile("core-z2")); after > before+1<<20 {
			t.Errorf("the state grew from %d to %d bytes with 290 changes", before, after)
		}
		// Changes go on while it comes back.
		w.start("core-z1", false)
		began := time.Now()
		w.many(10, 200*time.Millisecond)
		w.whole("the core is back")
		t.Logf("a member again within %v", time.Since(began))
		last := w.many(3, 0)
		w.readWithout("core-z2", last)
		w.readWithout("core-z3", last)
	})
}

func TestADamagedCoreComesBackEmpty(t *testing.T) {
	runCores(t, func(w *world) {
		want := w.many(5, 0)
		for _, all := range []bool{false, true} { // it alone, or with all power lost
			was := w.disk("core-z1")
			for _, z := range zones {
				if all || z == "z1" {
					w.kill("core-" + z)
				}
			}
			raw := w.keepFile("core-z1")
			w.putFile("core-z1", append(bytes.Repeat([]byte{0xA5}, len(raw)/2), raw[len(raw)/2:]...))
			w.start("core-z1", true) // an operator did not change the settings back
			if all {
				time.Sleep(3 * time.Second)
				for range 2 {
					if code := w.put("10.1.0.1:82", 0, w.configuration(1, options{})); code == 200 || code == 412 {
						t.Errorf("the core with the damaged file answers the operator with %d", code)
					}
				}
				w.start("core-z2", false)
				w.start("core-z3", false)
			}
			w.until(catchUp, "the damaged core is back on another disk", func() bool {
				m, v := w.cores()
				now := w.disk("core-z1")
				return m == 3 && v == 3 && now != "" && now != was
			})
			if !boltstore.Replaced(w.file("core-z1")) {
				t.Error("the damaged file was not moved aside")
			}
			w.readBack("with the damaged core back", want)
			want = w.many(2, 0)
			w.readWithout("core-z2", want)
		}
	})
}

// Damage that shows only while the core runs: it goes on as an empty one.
func TestACoreFoundDamagedInUseComesBackEmpty(t *testing.T) {
	for _, z := range zones { // head, middle and tail
		runCores(t, func(w *world) {
			w.many(3, 0)
			name := "core-" + z
			was := w.disk(name)
			if err := os.Truncate(w.file(name), int64(2*os.Getpagesize())); err != nil {
				t.Fatal(err)
			}
			last := w.many(3, time.Second)
			w.until(2*catchUp, name+" is back on another disk", func() bool {
				m, v := w.cores()
				now := w.disk(name)
				return m == 3 && v == 3 && now != "" && now != was
			})
			for _, other := range zones {
				if other != z {
					w.readWithout("core-"+other, last)
				}
			}
		})
	}
}

// An old file put back carries the identity of the disk. It is a lost disk and
// leads nothing, also in the view that it knows.
func TestAnOldFilePutBackLeadsNothing(t *testing.T) {
	for _, c := range []struct {
		name         string
		changed, all bool // the view changed since; all power is lost
		orders       bool // go on while it comes back
		wiped        bool // no file at all, and bootstrap as on the first day
	}{
		{name: "the view changed", changed: true},
		{name: "the view changed and all power was lost", changed: true, all: true},
		{name: "the same view, all power was lost", all: true},
		{name: "the same view, back at once"},
		{name: "the same view, back at once under orders", orders: true},
		{name: "wiped and bootstrap, all power was lost", all: true, wiped: true},
		{name: "wiped and bootstrap, back at once under orders", orders: true, wiped: true},
	} {
		for _, z := range zones {
			t.Run(c.name+", core-"+z, func(t *testing.T) {
				runCores(t, func(w *world) {
					w.many(3, 0)
					name := "core-" + z
					old := w.keepFile(name)
					if c.changed {
						w.kill(name)
						w.many(2, 2*time.Second)
						w.start(name, false)
						w.whole("back with its own file")
					}
					last := w.many(8, 0)
					for _, other := range zones {
						if c.all || other == z {
							w.kill("core-" + other)
						}
					}
					w.putFile(name, old)
					if c.wiped {
						w.wipe(name)
					}
					w.start(name, c.wiped)
					if c.all {
						time.Sleep(500 * time.Millisecond)
					}
					for _, other := range zones {
						if c.all && other != z {
							w.start("core-"+other, false)
						}
					}
					if c.orders {
						last = w.many(20, 20*time.Millisecond)
					}
					w.readBack("with an old file put back", last)
					w.whole("all are members")
					last = w.many(2, 0)
					for _, other := range zones {
						if other != z {
							w.readWithout("core-"+other, last)
						}
					}
				})
			})
		}
	}
}

// A core that is killed while it is handed the whole state, again and again, is
// handed it anew, and does not lead with the part that it got. The moments are
// spread over the time that joining takes.
func TestACoreKilledWhileItIsHandedTheState(t *testing.T) {
	runCores(t, func(w *world) {
		w.many(5, 0)
		w.kill("core-z1")
		last := w.many(5, time.Second)
		joined := 0
		for after := 100 * time.Millisecond; after < 1500*time.Millisecond; after += 35 * time.Millisecond {
			w.start("core-z1", false)
			time.Sleep(after)
			if m, _ := w.cores(); m == 3 {
				joined++
			}
			w.kill("core-z1")
			last = w.many(1, 1500*time.Millisecond)
			w.readBack("after a kill", last)
		}
		if joined == 0 || joined == 40 {
			t.Errorf("it had joined %d of 40 times", joined)
		}
		w.start("core-z1", false)
		w.whole("the core is back")
		w.readWithout("core-z3", last)
		w.readWithout("core-z2", last)
	})
}

func TestACoreWaitsForADiskThatRefuses(t *testing.T) {
	runCores(t, func(w *world) {
		w.many(2, 0)
		w.kill("core-z1")
		data := w.nodes["core-z1"].data
		if err := os.Rename(data, data+"-away"); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(data, nil, 0o600); err != nil { // no folder can be there
			t.Fatal(err)
		}
		w.start("core-z1", false)
		time.Sleep(5 * time.Second)
		code := 0
		for try := 0; try < 3 && code == 0; try++ { // a kept connection to the one before may break
			code = w.put("10.1.0.1:82", 0, w.configuration(1, options{}))
		}
		if code != 503 {
			t.Errorf("a core without its disk answers %d", code)
		}
		last := w.change("without it", options{attempts: 4})
		if took := w.terminate("core-z1"); took > time.Second {
			t.Errorf("it took %v to stop", took)
		}
		w.start("core-z1", false)
		time.Sleep(time.Second)
		if err := os.Remove(data); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(data+"-away", data); err != nil {
			t.Fatal(err)
		}
		w.whole("the core goes on when the disk does")
		w.readWithout("core-z2", last)
	})
}
