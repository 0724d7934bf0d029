package cluster

import (
	"bytes"
	"sync/atomic"
	"testing"
	"time"
)

// More cores than the cluster tolerates may be down at once, as long as no more disks than
// tolerated are lost: acknowledged writes survive and service resumes. core-z3 is down
// during some writes; core-z2, which has all of them, crashes. core-z3 rejoins the view of
// core-z1, which loses its disk before core-z3 has caught up. Then core-z1 restarts empty
// and core-z2 restarts with its disk.
func TestOverlappingLossesOfCores(t *testing.T) {
	runCores(t, func(w *world) {
		want := w.makeChanges(3, 100*time.Millisecond)
		w.killMachine("core-z3")
		w.waitFor(recoveryLimit, "the view without core-z3", func() bool { m, _ := w.viewSize(); return m == 2 })
		want = append(want[:0:0], w.makeChanges(3, 100*time.Millisecond)...)
		w.killMachine("core-z2")
		var dropped atomic.Int64
		w.network.mu.Lock()
		w.network.rewrite = func(b []byte) []byte { // drops the updates to the new member
			if bytes.Contains(b, []byte("POST /chain/pass ")) {
				dropped.Add(1)
				return nil
			}
			return b
		}
		w.network.mu.Unlock()
		w.startMachine("core-z3", false)
		w.waitFor(recoveryLimit, "updates to core-z3", func() bool { return dropped.Load() > 0 })
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
