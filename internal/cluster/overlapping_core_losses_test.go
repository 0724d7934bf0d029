package cluster

import (
	"bytes"
	"sync/atomic"
	"testing"
	"time"
)

// Losses of cores may overlap beyond what may be lost at once, as long as no more disks are
// lost: nothing acknowledged is lost then, and service comes back. Here core-z3 is away and
// comes back, and core-z2, which has all that was acknowledged, dies; core-z3 joins the view of
// core-z1, which loses its disk before it has filled core-z3. In the end all are back, and
// core-z2 with its disk.
func TestOverlappingLossesOfCores(t *testing.T) {
	runCores(t, func(w *world) {
		want := w.makeChanges(3, 100*time.Millisecond)
		w.killMachine("core-z3")
		w.waitFor(recoveryLimit, "the view without core-z3", func() bool { m, _ := w.viewSize(); return m == 2 })
		want = append(want[:0:0], w.makeChanges(3, 100*time.Millisecond)...)
		w.killMachine("core-z2")
		var refused atomic.Int64
		w.network.mu.Lock()
		w.network.rewrite = func(b []byte) []byte { // the new member is not filled
			if bytes.Contains(b, []byte("POST /chain/pass ")) {
				refused.Add(1)
				return nil
			}
			return b
		}
		w.network.mu.Unlock()
		w.startMachine("core-z3", false)
		w.waitFor(recoveryLimit, "updates to core-z3", func() bool { return refused.Load() > 0 })
		w.killMachine("core-z1")
		w.wipeDisk("core-z1")
		w.network.mu.Lock()
		w.network.rewrite = nil
		w.network.mu.Unlock()
		w.startMachine("core-z2", false)
		w.startMachine("core-z1", false)
		w.waitFor(12*time.Second, "all cores are back", func() bool { m, v := w.viewSize(); return m == 3 && v == 3 })
		w.verifyConfiguration("after overlapping losses", want)
	})
}
