package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// instance is a handler that registers itself, as the pages say.
type instance struct {
	cluster              *cluster
	id, service, address string
	zone                 int
	target               string // where the beats go
	seq                  int
	stop                 chan struct{}
}

// register sends the beats of a handler until stop is closed.
func (c *cluster) register(id, service, address string, zone int) *instance {
	i := &instance{cluster: c, id: id, service: service, address: address, zone: zone, stop: make(chan struct{})}
	go func() {
		for {
			i.beat()
			select {
			case <-i.stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
	return i
}

// beat sends one beat: to the address that was named last, else to one core after the other.
func (i *instance) beat() {
	c := i.cluster
	i.seq++
	raw, _ := json.Marshal(map[string]any{
		"service": i.service, "address": i.address, "zone": fmt.Sprintf("zone-%d", i.zone), "revision": "v1", "slots": 2,
		"oper-state": "ready", "warmup-left-ms": 0, "call-seq": i.seq,
	})
	for try := range 3 {
		target := i.target
		if target == "" {
			target = fmt.Sprintf("%s:%d", c.address(1+(i.zone+try)%3, core), c.control)
		}
		i.target = ""
		request, err := http.NewRequest(http.MethodPut, "http://"+target+"/v1/instances/"+i.id, bytes.NewReader(raw))
		if err != nil {
			return
		}
		request.Header.Set("Content-Type", "application/json")
		answer, err := (&http.Client{Timeout: time.Second}).Do(request)
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(answer.Body)
		answer.Body.Close()
		var out struct {
			Target string `json:"keepalive-target"`
		}
		if answer.StatusCode/100 == 2 && json.Unmarshal(text, &out) == nil {
			if i.seq == 1 {
				c.record.line("handler %s of service %s at %s is registered", i.id, i.service, i.address)
			}
			i.target = out.Target
			return
		}
	}
}

// endpointCase moves an outside service to another fixed endpoint. Its former server ends,
// and later a handler of another service starts at the address.
func endpointCase(c *cluster) (*verdict, error) {
	quick := func(string, string, string, int) answer { return answer{work: 20 * time.Millisecond, status: 200} }
	former, present, other := c.listenAddress(7, 1), c.listenAddress(7, 2), c.listenAddress(7, 3)
	old, err := startHandler(c, "partner", former, quick)
	if err != nil {
		return nil, err
	}
	next, err := startHandler(c, "partner-moved", present, quick)
	if err != nil {
		return nil, err
	}
	matcher, err := startHandler(c, "matcher-1", other, quick)
	if err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-approval", "/approval/", "partner", 1500, 3, false), route("r-lookup", "/lookup/", "matcher", 1500, 3, false)}
	services := func(partner string) []map[string]any {
		return []map[string]any{service("partner", partner, 24, 0), service("matcher", "", 78, 0)}
	}
	if err := c.begin(configuration(1, routes, services(former), tenant(139, 139), 262144)); err != nil {
		return nil, err
	}
	matcher.instance = "i-matcher-1"
	c.register(matcher.instance, "matcher", other, 1)
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var pause atomic.Bool // no approvals are sent
	s := c.sendSteadily(30, stop, func(n int) (int, message) {
		zone := 1 + n/3%3
		if n%3 == 0 || pause.Load() {
			return zone, message{path: fmt.Sprintf("/lookup/%d", n), body: "a segment"}
		}
		return zone, message{path: fmt.Sprintf("/approval/%d", n), body: "an approved translation"}
	})
	time.Sleep(4 * time.Second)
	address := c.listenAddress(7, 4) // of the second handler of the other service
	if trouble {
		c.record.line("disruption: the operator moves the service partner from %s to %s", former, present)
		if _, err = c.putConfiguration(configuration(2, routes, services(present), tenant(139, 139), 262144), 1, 5*time.Second); err != nil {
			return nil, err
		}
		address = former
	}
	time.Sleep(5 * time.Second) // config-apply-ms is 3,000
	pause.Store(true)
	time.Sleep(3 * time.Second) // so is drain-ms
	if trouble {
		old.end()
		c.record.line("the former server of partner has ended")
	}
	time.Sleep(3 * time.Second) // address-holddown-s is 2
	second, err := startHandler(c, "matcher-2", address, quick)
	if err != nil {
		return nil, err
	}
	second.instance = "i-matcher-2"
	c.register(second.instance, "matcher", address, 2)
	time.Sleep(3 * time.Second)
	pause.Store(false)
	time.Sleep(15 * time.Second)
	close(stop)
	s.tasks.Wait()
	time.Sleep(2 * time.Second)

	v := &verdict{rule: "ROUTE"}
	sent := map[string]accepted{}
	for _, a := range s.accepted {
		sent[a.id] = a
	}
	c.record.line("runs: %d at the former server of partner, %d at the present one, %d and %d at the handlers of matcher",
		len(old.all()), len(next.all()), len(matcher.all()), len(second.all()))
	for _, h := range []*handlerServer{matcher, second} {
		for _, r := range h.all() {
			if strings.HasPrefix(r.path, "/approval/") {
				a := sent[r.id]
				v.add("%s (%s, sent %s) for the service partner is run by %s, a handler of the service matcher, at %s", r.id, r.path, c.record.at(a.sent), h.name, c.record.at(r.began))
			}
		}
	}
	for _, h := range []*handlerServer{old, next} {
		for _, r := range h.all() {
			if !strings.HasPrefix(r.path, "/approval/") {
				return nil, fmt.Errorf("%s at %s", r.path, h.name)
			}
		}
	}
	if len(second.all()) == 0 || trouble && len(next.all()) == 0 {
		return nil, fmt.Errorf("the handlers got nothing")
	}
	return v, nil
}
