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
			t.Errorf("a message after all: %d", a.Status)
		}
	})
}

func TestConcurrentConfigurationWritesHaveOneWinner(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		ctx := context.Background()
		put := func(raw []byte, match int64, control string) int {
			a, err := w.request(control, &httpwire.Call{Method: "PUT", Target: "/v1/configuration", Host: control, Header: []string{"If-Match", fmt.Sprint(match)}, Body: raw}, 2*time.Second)
			if err != nil {
				return 0
			}
			return a.Status
		}
		for round := range 5 {
			base := int64(w.revision)
			got := make([]int, 3)
			var wg sync.WaitGroup
			for i, c := range w.controlAddresses() {
				wg.Go(func() { got[i] = put(w.configuration(w.revision+1+i, options{maxAttempts: round + 2}), base, c) })
			}
			wg.Wait()
			won := 0
			for i, code := range got {
				if code == 200 {
					won++
					w.revision = int(base) + 1 + i
				} else if code != 412 {
					t.Errorf("round %d: %v", round, got)
				}
			}
			if won != 1 {
				t.Fatalf("round %d: %v", round, got)
			}
			if code := put(w.configuration(w.revision, options{maxAttempts: round + 2}), base, w.controlAddresses()[round%3]); code != 200 {
				t.Errorf("the same again: %d", code)
			}
		}
		good := w.configuration(w.revision, options{maxAttempts: 6})
		for what, c := range map[string]struct {
			raw   []byte
			match int
			want  int
		}{
			"cut short":       {w.configuration(w.revision+1, options{})[:200], w.revision, 400},
			"unknown service": {w.configuration(w.revision+1, options{unknownService: true}), w.revision, 400},
			"no time-out":     {w.configuration(w.revision+1, options{zeroTimeout: true}), w.revision, 400},
			"shared key":      {w.configuration(w.revision+1, options{duplicateKey: true}), w.revision, 400},
			"old revision":    {w.configuration(w.revision-1, options{}), w.revision, 400},
			"stale match":     {w.configuration(w.revision+1, options{}), w.revision - 1, 412},
			"over the limit":  {make([]byte, 5<<20), w.revision, 413},
		} {
			if code := put(c.raw, int64(c.match), w.controlAddresses()[0]); code != c.want {
				t.Errorf("%s: %d, not %d", what, code, c.want)
			}
		}
		if raw, err := w.operator().Get(ctx, "/v1/configuration"); err != nil || !bytes.Equal(raw, good) {
			t.Errorf("a refused configuration is in force: %v", err)
		}
	})
}

// change is what an operator sends, the same bytes each time.
type operatorChange struct {
	ifMatch     int
	body        []byte
	finalStatus int // the clear one, 0 without
	attempts    int
}

// An order that the head wrote, and that met a sealed view on its way down, has
// no clear answer: what stood in its way is no word on the order.
func TestSealedViewConflictIsNotReportedAsRejection(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		rest := []string{"10.2.0.1", "10.3.0.1"}
		w.network.setBlocked(w.coreAddresses[:1], rest, true)
		w.network.setBlocked(rest, w.coreAddresses[:1], true)
		w.waitFor(8*time.Second, "a view without the head", func() bool {
			members, _ := w.viewSize()
			return members == 2
		})
		raw := w.configuration(w.revision+1, options{maxAttempts: 4})
		w.network.setBlocked(w.coreAddresses[:1], rest, false)
		w.network.setBlocked(rest, w.coreAddresses[:1], false)
		if code := w.putConfiguration("10.1.0.1:82", w.revision, raw); code/100 == 4 {
			t.Errorf("the head of the view before answers %d", code)
		}
		w.waitFor(8*time.Second, "the same order is acknowledged", func() bool { return w.putConfiguration("10.2.0.1:82", w.revision, raw) == 200 })
	})
}

func TestMalformedOperatorRequestsAreRejected(t *testing.T) {
	runCluster(t, func(w *world) {
		for _, c := range w.controlAddresses() {
			w.waitFor(5*time.Second, c+" says that there is none", func() bool {
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

// send sends an order to one core after the other until an answer is clear.
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

// Eight operators at once pick the same numbers, at three cores whose answers
// get lost. For each version one change wins, and each one that was taken is
// acknowledged again at any core: at once, after 300 more changes, and after a
// kill of all cores.
func TestRetriedWriteIsAcknowledgedAgain(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		random := rand.New(rand.NewPCG(1, 8))
		lossy, stop := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(lossy)
			outside := []string{w.clientProcess.ip}
			for {
				for _, core := range w.coreAddresses {
					w.network.setBlocked([]string{core}, outside, random.IntN(2) == 0)
				}
				select {
				case <-stop:
					w.network.setBlocked(w.coreAddresses, outside, false)
					return
				case <-time.After(time.Duration(random.IntN(100)) * time.Millisecond):
				}
			}
		}()
		var mu sync.Mutex
		var orders []*operatorChange
		var operators sync.WaitGroup
		for i := range 8 {
			operators.Go(func() {
				for n := range 12 {
					var head struct {
						Revision int `json:"revision"`
					}
					raw, err := w.operator().Get(context.Background(), "/v1/configuration")
					if err != nil || json.Unmarshal(raw, &head) != nil {
						continue
					}
					o := &operatorChange{ifMatch: head.Revision, body: w.configuration(head.Revision+1, options{rate: float64(1000 + 100*i + n)})}
					o.sendUntilFinal(w, i)
					mu.Lock()
					orders = append(orders, o)
					mu.Unlock()
				}
			})
		}
		operators.Wait()
		close(stop)
		<-lossy
		winners := map[int]*operatorChange{}
		resent, lost := 0, 0
		for _, o := range orders {
			resent += o.attempts - 1
			switch o.finalStatus {
			case 200:
				if winners[o.ifMatch] != nil {
					t.Errorf("two changes of %d are acknowledged", o.ifMatch)
				}
				winners[o.ifMatch] = o
				w.revision = max(w.revision, o.ifMatch+1)
			case 412:
				lost++
			default:
				t.Errorf("a change of %d: %d after %d tries", o.ifMatch, o.finalStatus, o.attempts)
			}
		}
		t.Logf("%d orders, %d taken, %d of others first, sent again %d times", len(orders), len(winners), lost, resent)
		if len(winners) < 8 || lost < 8 || resent < 8 {
			t.Error("too little was tried")
		}
		again := func(when string) {
			for _, c := range w.controlAddresses() {
				for _, o := range orders {
					w.waitFor(8*time.Second, "a clear answer "+when, func() bool {
						code := w.putConfiguration(c, o.ifMatch, o.body)
						if code/100 != 5 && code != 0 && code != 307 && code != o.finalStatus {
							t.Fatalf("%s: a change of %d that was answered %d is answered %d", when, o.ifMatch, o.finalStatus, code)
						}
						return code == o.finalStatus
					})
				}
			}
		}
		again("at once")
		var last []byte
		for range 300 {
			last = w.changeConfiguration("more", options{})
		}
		again("after 300 changes")
		for _, z := range zones {
			w.killMachine("core-" + z)
		}
		for _, z := range zones {
			w.startMachine("core-"+z, false)
		}
		again("after a kill of all cores")
		w.verifyConfiguration("at the end", last)
		if s, err := w.status(); err != nil || !bytes.Contains(last, fmt.Appendf(nil, `"revision":%d,`, s.Revision)) {
			t.Errorf("status tells revision %d: %v", s.Revision, err)
		}
	})
}
