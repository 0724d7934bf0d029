package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"saltreel/internal/httpwire"
)

func TestConfigurationSurvivesCrashOfEachCore(t *testing.T) {
	runCluster(t, func(w *world) {
		w.newService("plain", "z1")
		w.applyConfiguration(options{})
		for i, z := range append(zones, zones...) {
			w.killMachine("core-" + z)
			began := time.Now()
			w.revision++
			want := w.configuration(w.revision, options{maxAttempts: i + 2})
			w.waitFor(5*time.Second, "a revision without core-"+z, func() bool {
				return w.operator().PutConfiguration(context.Background(), want, int64(w.revision-1)) == nil
			})
			t.Logf("without core-%s: acknowledged after %v", z, time.Since(began))
			w.startMachine("core-"+z, false)
			time.Sleep(4 * time.Second)
			raw, err := w.operator().Get(context.Background(), "/v1/configuration")
			if err != nil || !bytes.Equal(raw, want) {
				t.Fatalf("read back without core-%s: %v", z, err)
			}
		}
		if a := w.sendMessage("z1", "/plain/", "after"); a.Status != 202 {
			t.Errorf("message after the restarts: status %d, want 202", a.Status)
		}
	})
}

// Of three concurrent writes based on the same revision exactly one is acknowledged,
// and a retry of it is acknowledged again. Rejected configurations never take effect.
func TestConcurrentConfigurationWritesHaveOneWinner(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		for round := range 5 {
			w.verifyOneOfThreeWritesWins(t, round)
		}
		inForce := w.configuration(w.revision, options{maxAttempts: 6})
		for what, c := range map[string]struct {
			raw   []byte
			match int
			want  int
		}{
			"truncated":       {w.configuration(w.revision+1, options{})[:200], w.revision, 400},
			"unknown service": {w.configuration(w.revision+1, options{unknownService: true}), w.revision, 400},
			"no time-out":     {w.configuration(w.revision+1, options{zeroTimeout: true}), w.revision, 400},
			"shared key":      {w.configuration(w.revision+1, options{duplicateKey: true}), w.revision, 400},
			"old revision":    {w.configuration(w.revision-1, options{}), w.revision, 400},
			"stale match":     {w.configuration(w.revision+1, options{}), w.revision - 1, 412},
			"over the limit":  {make([]byte, 5<<20), w.revision, 413},
		} {
			if code := w.putConfigurationWithin(2*time.Second, w.controlAddresses()[0], c.match, c.raw); code != c.want {
				t.Errorf("%s: status %d, want %d", what, code, c.want)
			}
		}
		if raw, err := w.operator().Get(context.Background(), "/v1/configuration"); err != nil || !bytes.Equal(raw, inForce) {
			t.Errorf("a rejected configuration took effect: %v", err)
		}
	})
}

// verifyOneOfThreeWritesWins sends conflicting writes to all three cores concurrently
// and checks that exactly one is acknowledged.
func (w *world) verifyOneOfThreeWritesWins(t *testing.T, round int) {
	t.Helper()
	base := w.revision
	statuses := make([]int, 3)
	var wg sync.WaitGroup
	for i, c := range w.controlAddresses() {
		wg.Go(func() {
			statuses[i] = w.putConfigurationWithin(2*time.Second, c, base, w.configuration(base+1+i, options{maxAttempts: round + 2}))
		})
	}
	wg.Wait()
	winners := 0
	for i, code := range statuses {
		if code == 200 {
			winners++
			w.revision = base + 1 + i
		} else if code != 412 {
			t.Errorf("round %d: statuses %v, want only 200 and 412", round, statuses)
		}
	}
	if winners != 1 {
		t.Fatalf("round %d: statuses %v, want 200 exactly once", round, statuses)
	}
	winner := w.configuration(w.revision, options{maxAttempts: round + 2})
	if code := w.putConfigurationWithin(2*time.Second, w.controlAddresses()[round%3], base, winner); code != 200 {
		t.Errorf("retry of the acknowledged write: status %d, want 200", code)
	}
}

// operatorChange is one configuration write of an operator; retries send the same
// bytes.
type operatorChange struct {
	ifMatch     int
	body        []byte
	finalStatus int // 200 or a rejection; 0 while the outcome is unknown
	attempts    int
}

// If the head has stored a write and a later member of the chain rejects it because
// the view is sealed, the outcome is unknown. The conflict between the members must
// not be reported to the operator as a rejection.
func TestSealedViewConflictIsNotReportedAsRejection(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		head, rest := w.coreAddresses[:1], []string{"10.2.0.1", "10.3.0.1"}
		w.setPartition(head, rest, bothDirections, true)
		w.waitFor(8*time.Second, "a view without the head", func() bool {
			members, _ := w.viewSize()
			return members == 2
		})
		raw := w.configuration(w.revision+1, options{maxAttempts: 4})
		w.setPartition(head, rest, bothDirections, false)
		if code := w.putConfiguration("10.1.0.1:82", w.revision, raw); code/100 == 4 {
			t.Errorf("the head of the previous view answers %d", code)
		}
		w.waitFor(8*time.Second, "acknowledgement of the retried write", func() bool { return w.putConfiguration("10.2.0.1:82", w.revision, raw) == 200 })
	})
}

func TestMalformedOperatorRequestsAreRejected(t *testing.T) {
	runCluster(t, func(w *world) {
		for _, c := range w.controlAddresses() {
			w.waitFor(5*time.Second, c+" to report that there is no configuration", func() bool {
				a, err := w.request(c, &httpwire.Call{Method: "GET", Target: "/v1/configuration", Host: c}, time.Second)
				return err == nil && a.Status == 404
			})
			for _, body := range []string{`{"deadline-s":-1}`, `{"deadline-s":NaN}`, `{"deadline-s":1e999}`, `{`} {
				a, err := w.request(c, &httpwire.Call{Method: "POST", Target: "/v1/retire/nowhere", Host: c, Body: []byte(body)}, time.Second)
				if err != nil || a.Status != 400 {
					t.Errorf("%s: %+v %v", body, a, err)
				}
			}
		}
	})
}

// sendUntilFinal sends the write to the cores in turn until its outcome is known, at
// most 60 times.
func (o *operatorChange) sendUntilFinal(w *world, first int) {
	for o.attempts = 0; o.finalStatus == 0 && o.attempts < 60; o.attempts++ {
		switch code := w.putConfiguration(w.controlAddresses()[(first+o.attempts)%3], o.ifMatch, o.body); code {
		case 0, 307, 408, 429, 500, 502, 503, 504:
			time.Sleep(50 * time.Millisecond)
		default:
			o.finalStatus = code
		}
	}
}

// Eight operators write concurrently, with the same revision numbers, to three cores
// whose responses are dropped at random. At most one write per revision succeeds, and
// every core acknowledges a retry of it: immediately, after 300 more writes, and after
// a crash of all cores.
func TestRetriedWriteIsAcknowledgedAgain(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		stop := w.dropResponses()
		writes := w.writeConcurrently()
		stop()
		w.verifyWinners(t, writes)
		w.verifySameStatus(t, "at once", writes)
		var last []byte
		for range 300 {
			last = w.changeConfiguration("more", options{})
		}
		w.verifySameStatus(t, "after 300 writes", writes)
		for _, z := range zones {
			w.killMachine("core-" + z)
		}
		for _, z := range zones {
			w.startMachine("core-"+z, false)
		}
		w.verifySameStatus(t, "after a kill of all cores", writes)
		w.verifyConfiguration("at the end", last)
		if s, err := w.status(); err != nil || !bytes.Contains(last, fmt.Appendf(nil, `"revision":%d,`, s.Revision)) {
			t.Errorf("status reports revision %d: %v", s.Revision, err)
		}
	})
}

// dropResponses blocks and unblocks the links from the cores to the operators at random
// until stop is called.
func (w *world) dropResponses() (stop func()) {
	random := rand.New(rand.NewPCG(1, 8))
	stopping := make(chan struct{})
	stopped := make(chan struct{})
	operators := []string{w.clientProcess.ip}
	go func() {
		defer close(stopped)
		for {
			for _, core := range w.coreAddresses {
				w.network.setBlocked([]string{core}, operators, random.IntN(2) == 0)
			}
			select {
			case <-stopping:
				w.network.setBlocked(w.coreAddresses, operators, false)
				return
			case <-time.After(time.Duration(random.IntN(100)) * time.Millisecond):
			}
		}
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}

// writeConcurrently runs eight operators that each read the configuration and
// write the next one, twelve times.
func (w *world) writeConcurrently() []*operatorChange {
	var mu sync.Mutex
	var writes []*operatorChange
	var operators sync.WaitGroup
	for i := range 8 {
		operators.Go(func() {
			for n := range 12 {
				var current struct {
					Revision int `json:"revision"`
				}
				raw, err := w.operator().Get(context.Background(), "/v1/configuration")
				if err != nil || json.Unmarshal(raw, &current) != nil {
					continue
				}
				o := &operatorChange{ifMatch: current.Revision, body: w.configuration(current.Revision+1, options{rate: float64(1000 + 100*i + n)})}
				o.sendUntilFinal(w, i)
				mu.Lock()
				writes = append(writes, o)
				mu.Unlock()
			}
		})
	}
	operators.Wait()
	return writes
}

// verifyWinners checks that at most one write per revision was acknowledged, and that
// the run had enough acknowledgements, conflicts and retries to be conclusive.
func (w *world) verifyWinners(t *testing.T, writes []*operatorChange) {
	t.Helper()
	winners := map[int]*operatorChange{}
	resent := 0
	conflicts := 0
	for _, o := range writes {
		resent += o.attempts - 1
		switch o.finalStatus {
		case 200:
			if winners[o.ifMatch] != nil {
				t.Errorf("two writes on revision %d are acknowledged", o.ifMatch)
			}
			winners[o.ifMatch] = o
			w.revision = max(w.revision, o.ifMatch+1)
		case 412:
			conflicts++
		default:
			t.Errorf("a write on revision %d: status %d after %d attempts", o.ifMatch, o.finalStatus, o.attempts)
		}
	}
	t.Logf("%d writes, %d acknowledged, %d conflicts, %d retries", len(writes), len(winners), conflicts, resent)
	if len(winners) < 8 || conflicts < 8 || resent < 8 {
		t.Error("want at least 8 acknowledged writes, 8 conflicts and 8 retries")
	}
}

// verifySameStatus retries each write at each core and checks that its status is the
// same as the first time.
func (w *world) verifySameStatus(t *testing.T, when string, writes []*operatorChange) {
	t.Helper()
	for _, c := range w.controlAddresses() {
		for _, o := range writes {
			w.waitFor(8*time.Second, "a final response "+when, func() bool {
				code := w.putConfiguration(c, o.ifMatch, o.body)
				if code/100 != 5 && code != 0 && code != 307 && code != o.finalStatus {
					t.Fatalf("%s: a write on revision %d was first answered %d, the retry %d", when, o.ifMatch, o.finalStatus, code)
				}
				return code == o.finalStatus
			})
		}
	}
}
