package cluster

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saltreel/internal/rpc"
)

// The tests in this file inject a crash right after an acknowledgement or shortly after
// a change was sent. It kills all processes, wipes as many disks as the cluster
// tolerates, or both. The machines restart within seconds while traffic continues, and
// everything acknowledged must be read back. Disks keep all data written to them here;
// the loss of unsynced writes on power loss is tested in packages boltstore and partition.

// crashFault defines which processes and disks a crash affects.
type crashFault struct {
	name        string
	wipesDisk   bool // of the target machine; the clusters of these tests tolerate one lost disk
	killsOthers bool // all other machines of the platform, including edges and gateways
}

var crashFaults = []crashFault{
	{"all processes are killed", false, true},
	{"a disk is lost", true, false},
	{"a disk is lost and all others are killed", true, true},
}

// crashDelays are the times from sending a change to the crash; 0 means right after
// the acknowledgement.
var crashDelays = []time.Duration{0, 5 * time.Millisecond, 40 * time.Millisecond, 400 * time.Millisecond}

// downTime is the time from the crash to the restart of the machines.
const downTime = 1400 * time.Millisecond

// injectCrash crashes the target machine, and all others if the fault kills them, and
// restarts them after downTime.
func (w *world) injectCrash(f crashFault, target string) {
	w.t.Helper()
	names := []string{target}
	for _, z := range zones {
		if f.killsOthers {
			names = append(names, w.machinesOf(z)...)
		}
	}
	crashed := map[string]bool{}
	for _, name := range names {
		w.processOf(name).kill()
		crashed[name] = true
	}
	for name := range crashed {
		w.killMachine(name)
	}
	if f.wipesDisk {
		w.wipeDisk(target)
	}
	time.Sleep(downTime)
	for name := range crashed {
		w.startMachine(name, false)
	}
}

// injectCrashAfter sends a change and injects the crash after the delay. It returns the
// response status of the change, or 0 if its outcome is unknown.
func (w *world) injectCrashAfter(delay time.Duration, f crashFault, target string, send func() int) int {
	w.t.Helper()
	status := make(chan int, 1)
	w.goroutines.Go(func() { status <- send() })
	await := func() int {
		select {
		case got := <-status:
			return got
		case <-time.After(time.Minute):
			w.t.Fatal("a change has no response after a minute")
			return 0
		}
	}
	if delay == 0 {
		got := await()
		w.injectCrash(f, target)
		return got
	}
	time.Sleep(delay)
	w.injectCrash(f, target)
	return await()
}

func forEachCrashFault(t *testing.T, run func(t *testing.T, f crashFault, delay time.Duration)) {
	t.Helper()
	for _, f := range crashFaults {
		for _, delay := range crashDelays {
			name := fmt.Sprintf("%s, %v after a change was sent", f.name, delay)
			if delay == 0 {
				name = f.name + ", right after an acknowledgement"
			}
			t.Run(name, func(t *testing.T) { run(t, f, delay) })
		}
	}
}

// An acknowledged configuration is read back after each kind of crash. One without a
// response is either applied completely or not at all, and its retry is acknowledged.
func TestConfigurationSurvivesCrashes(t *testing.T) {
	forEachCrashFault(t, func(t *testing.T, f crashFault, delay time.Duration) {
		runCluster(t, func(w *world) {
			for round, z := range zones { // several crashes in one run, one at each core
				before := w.changeConfiguration(fmt.Sprint("before fault ", round), options{maxAttempts: 2 + 2*round})
				next := w.configuration(w.revision+1, options{maxAttempts: 3 + 2*round})
				core := w.machines["core-"+z]
				status := w.injectCrashAfter(delay, f, core.name, func() int {
					return w.putConfiguration(core.ip+":82", w.revision, next)
				})
				w.verifyConfigurationAfterCrash(before, next, status == 200)
				w.waitFor(10*time.Second, "acknowledgement of the retried change", func() bool {
					return w.operator().PutConfiguration(context.Background(), next, int64(w.revision)) == nil
				})
				w.revision++
				w.verifyConfiguration("after the retried change", next)
				time.Sleep(recoveryTime)
			}
		})
	})
}

// verifyConfigurationAfterCrash reads the configuration after a crash. It must be next,
// or before if next was not acknowledged.
func (w *world) verifyConfigurationAfterCrash(before, next []byte, acknowledged bool) {
	w.t.Helper()
	w.waitFor(15*time.Second, "reading back", func() bool {
		raw, err := w.operator().Get(context.Background(), "/v1/configuration")
		if err != nil {
			if code := rpc.StatusCode(err); code != 0 && code < 500 {
				w.t.Fatalf("reading the configuration: status %d", code)
			}
			return false
		}
		if !bytes.Equal(raw, next) && (acknowledged || !bytes.Equal(raw, before)) {
			w.t.Fatalf("acknowledged: %v; unexpected configuration read back: %s", acknowledged, raw)
		}
		return true
	})
}

// Accepted messages with a delay are delivered exactly once after each kind of crash
// before they are due.
func TestMessagesSurviveCrashes(t *testing.T) {
	forEachCrashFault(t, func(t *testing.T, f crashFault, delay time.Duration) {
		runCluster(t, func(w *world) {
			plain := w.newService("plain", "z1", "z2", "z3")
			w.applyConfiguration(options{retentionSeconds: 300})
			names := map[string]string{}
			for _, z := range zones {
				for range 6 {
					id := w.newID()
					names[id] = w.sendUntilAccepted(z, "/plain/", id, "Saltreel-Delay-Ms", "30000")
				}
				last := w.newID()
				w.injectCrashAfter(delay, f, "store-"+z, func() int {
					answer := w.sendMessage(z, "/plain/", last, "Saltreel-Delay-Ms", "30000")
					if answer.Status == 202 {
						names[last] = answer.Header.Get("Saltreel-Message-Name")
					}
					return answer.Status
				})
				time.Sleep(recoveryTime)
			}
			for id, name := range names {
				w.waitForState(name, "complete seal-"+id, 60*time.Second)
				plain.checkDeliveredOnce(id)
			}
		})
	})
}

// Subscribers of topics get each acknowledged message exactly once and in order across
// crashes during publishing.
func TestTopicsSurviveCrashes(t *testing.T) {
	for i, f := range crashFaults {
		t.Run(f.name, func(t *testing.T) {
			runLive(t, func(w *world) {
				rng := rand.New(rand.NewPCG(uint64(i), 1))
				traffic := w.startLiveTraffic(2, 40*time.Millisecond)
				for _, z := range zones {
					time.Sleep(time.Second + time.Duration(rng.IntN(400))*time.Millisecond)
					w.injectCrash(f, "broker-"+z)
					time.Sleep(recoveryTime)
				}
				for _, problem := range traffic.finish() {
					t.Error(problem)
				}
				if n := traffic.acknowledged(); n < 50 {
					t.Errorf("%d messages were acknowledged, want at least 50", n)
				}
			})
		})
	}
}
