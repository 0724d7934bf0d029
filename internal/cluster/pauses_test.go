package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"saltreel/internal/controlplane"
)

// quotaPeriod is the period of a CPU quota: a process runs at full speed until its
// share of the period is used up, and is paused for the rest.
const quotaPeriod = 100 * time.Millisecond

// regionDelay is a typical network delay between regions.
const regionDelay = 8 * time.Millisecond

// A process with a CPU quota runs in bursts. Without faults these pauses cause no
// failover, no view change and no refused message, for short and long pauses in each
// period of 100 ms and for different phase offsets of the machines.
func TestProcessorQuotaCausesNoFailover(t *testing.T) {
	for name, c := range map[string]struct {
		pause       time.Duration
		holdsWrites bool
	}{
		"a quarter of the period":                  {quotaPeriod / 4, false},
		"a quarter of the period, timers late too": {quotaPeriod / 4, true},
		"nearly all of the period":                 {quotaPeriod * 19 / 20, false},
	} {
		for seed := range uint64(quotaSeeds) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				runCluster(t, func(w *world) { w.verifyQuotaCausesNoFailover(seed, c.pause, c.holdsWrites) })
			})
		}
	}
}

// quotaSeeds is the number of tested phase offsets between the periods of the machines.
// Seed 1 fails if httpwire does not read once more after a deadline that a paused process
// noticed late, since the data may have arrived in the meantime.
const quotaSeeds = 4

// verifyQuotaCausesNoFailover sends messages while all processes are paused
// periodically, and checks that the view and the placement stay the same and that no
// message is delivered twice.
func (w *world) verifyQuotaCausesNoFailover(seed uint64, pause time.Duration, holdsWrites bool) {
	w.t.Helper()
	plain := w.newService("plain", "z1", "z2", "z3")
	w.applyConfiguration(options{})
	w.network.setDelay(regionDelay)
	time.Sleep(3 * time.Second)
	before := w.clusterState()
	resume := w.pauseAll(seed, pause, holdsWrites)
	sent := w.sendMessagesDuringPauses(12 * time.Second)
	resume()
	if after := w.clusterState(); after != before {
		w.t.Errorf("state before the pauses: %s, after: %s", before, after)
	}
	w.verifyDeliveredOnce(plain, sent)
}

// clusterState describes the view and the placement, which every view change or
// failover changes.
func (w *world) clusterState() string {
	w.t.Helper()
	var status controlplane.Overview
	w.waitFor(10*time.Second, "the status", func() (ok bool) {
		var err error
		status, err = w.status()
		return err == nil
	})
	return fmt.Sprintf("view %d, placement %d of term %d", status.View.Number, status.Placement.Version, status.Placement.Term)
}

// pauseAll pauses every process for the given time in each period until resume is
// called. The seed determines the phase offset of each machine.
func (w *world) pauseAll(seed uint64, pause time.Duration, holdsWrites bool) (resume func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	rng := rand.New(rand.NewPCG(seed, 1))
	var names []string
	for name, m := range w.machines {
		if m.role != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		ip, offset := w.machines[name].ip, time.Duration(rng.Int64N(int64(quotaPeriod)))
		tasks.Go(func() {
			time.Sleep(offset)
			for ctx.Err() == nil {
				w.network.pauseProcess(ip, holdsWrites)
				time.Sleep(pause)
				w.network.resumeProcess(ip)
				time.Sleep(quotaPeriod - pause)
			}
		})
	}
	return func() {
		cancel()
		tasks.Wait()
	}
}

// sendMessagesDuringPauses sends messages for the given duration. Each must be accepted
// at the first attempt. It returns their number.
func (w *world) sendMessagesDuringPauses(duration time.Duration) (sent int) {
	w.t.Helper()
	const interval = 50 * time.Millisecond
	var tasks sync.WaitGroup
	sent = int(duration / interval)
	for i := range sent {
		id := fmt.Sprintf("paused-%d", i)
		tasks.Go(func() {
			if a := w.sendMessage(zones[i%len(zones)], "/plain/x", id); a.Status != 202 {
				w.t.Errorf("message %s at %v: status %d, want 202", id, time.Duration(i)*interval, a.Status)
			}
		})
		time.Sleep(interval)
	}
	tasks.Wait()
	return sent
}

// verifyDeliveredOnce waits 3 s for deliveries to end and checks that each message was
// delivered exactly once.
func (w *world) verifyDeliveredOnce(s *service, messages int) {
	w.t.Helper()
	time.Sleep(3 * time.Second)
	counts := map[string]int{}
	for _, d := range s.received() {
		counts[d.id]++
	}
	for id, n := range counts {
		if n != 1 {
			w.t.Errorf("%s was delivered %d times", id, n)
		}
	}
	if len(counts) != messages {
		w.t.Errorf("%d of %d messages were delivered", len(counts), messages)
	}
}
