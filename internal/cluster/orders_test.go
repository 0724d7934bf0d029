package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"saltreel/internal/httpwire"
)

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

// A core that is cut off from the others sends callers to where they are
// answered, and tells apart what it could not even send.
func TestIsolatedCoreRedirectsCallers(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		lone, rest := w.coreAddresses[1:2], []string{w.coreAddresses[0], w.coreAddresses[2]} // the view goes from the first to the third
		w.network.setBlocked(lone, rest, true)
		w.network.setBlocked(rest, lone, true)
		time.Sleep(2500 * time.Millisecond)
		raw := w.configuration(w.revision+1, options{maxAttempts: 4})
		for _, call := range []httpwire.Call{
			{Method: "PUT", Target: "/v1/configuration", Header: []string{"If-Match", fmt.Sprint(w.revision)}, Body: raw},
			{Method: "GET", Target: "/v1/configuration"}, {Method: "GET", Target: "/v1/status"}, {Method: "POST", Target: "/v1/retire/nowhere?x=1"},
		} {
			call.Host = lone[0] + ":82"
			began := time.Now()
			a, err := w.request(call.Host, &call, time.Second)
			to := "10.1.0.1:82"
			if call.Method == "GET" {
				to = "10.3.0.1:82"
			}
			if err != nil || a.Status != 307 || a.Header.Get("Location") != "http://"+to+call.Target {
				t.Errorf("%s %s: %+v %v", call.Method, call.Target, a, err)
			}
			if took := time.Since(began); took > 700*time.Millisecond {
				t.Errorf("%s %s: answered after %v", call.Method, call.Target, took)
			}
		}
		op := w.operator()
		op.Controls = []string{lone[0] + ":82"}
		w.waitFor(5*time.Second, "the change is taken by way of the lone core", func() bool {
			return op.PutConfiguration(context.Background(), raw, int64(w.revision)) == nil
		})
		w.network.setBlocked(lone, rest, false)
		w.network.setBlocked(rest, lone, false)
		w.waitFor(8*time.Second, "all three are in the view", func() bool { m, _ := w.viewSize(); return m == 3 })
		// Where nothing listens, nobody is sent. The first order may have gone out
		// on a connection that was kept; what comes next certainly goes nowhere.
		w.killMachine("core-z1")
		w.killMachine("core-z3")
		for _, want := range [][]int{{503, 504}, {503}, {503}} {
			if code := w.putConfiguration(lone[0]+":82", w.revision+1, w.configuration(w.revision+2, options{})); !slices.Contains(want, code) {
				t.Errorf("with no other core: %d", code)
			}
		}
		w.startMachine("core-z1", false)
		w.startMachine("core-z3", false)
		w.verifyConfiguration("after all that", raw)
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
