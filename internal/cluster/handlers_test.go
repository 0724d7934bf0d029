package cluster

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"saltreel/internal/httpwire"
)

// service simulates the handlers of one service.
type service struct {
	world      *world
	name       string
	mu         sync.Mutex
	deliveries []delivery
	instances  map[string]*instance // by ID
	// respond chooses the status and the duration of a delivery. If it is nil, each
	// delivery succeeds after 5 ms.
	respond func(d delivery) (status int, took time.Duration)
	slots   atomic.Int64 // reported by the next heartbeat of each handler; 0 means 2
}

// delivery is one delivery of a message to a handler. Its id is that of the message;
// endedAt is zero until the handler responds.
type delivery struct {
	id, key, tenant, body, instance string
	startedAt                       time.Time
	endedAt                         time.Time
}

// instance is one handler.
type instance struct {
	id, address, zone, state string
	heartbeatSeq             int64
	process                  *process
	cancel                   context.CancelFunc // stops its server and its heartbeats
}

// newService starts a service with one handler in each of the given zones.
func (w *world) newService(name string, instanceZones ...string) *service {
	s := &service{world: w, name: name, instances: map[string]*instance{}}
	for i, z := range instanceZones {
		s.addInstance(fmt.Sprintf("%s-i%d", name, i), z, fmt.Sprintf("10.20.%d.%d:90", len(name), 10*i+int(name[0])))
	}
	return s
}

// addInstance starts a handler that sends periodic heartbeats, and returns once its first
// heartbeat is accepted.
func (s *service) addInstance(id, zone, addr string) *instance {
	ip, _, _ := strings.Cut(addr, ":")
	in := &instance{id: id, address: addr, zone: zone, state: "ready", process: &process{network: s.world.network, ip: ip}}
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	l, err := in.process.listen(addr)
	if err != nil {
		s.world.t.Fatal(err)
	}
	s.instances[id] = in
	server := &httpwire.Server{Handle: func(_ context.Context, r *httpwire.Request) *httpwire.Response { return s.serve(in, r) }}
	s.world.goroutines.Go(func() { _ = server.Serve(ctx, l) })
	s.world.machines["handler "+id] = &machine{cancel: cancel}
	s.world.waitFor(5*time.Second, "heartbeat of "+id, func() bool { return s.heartbeat(in) })
	s.world.goroutines.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(1200 * time.Millisecond):
				s.heartbeat(in)
			}
		}
	})
	return in
}

// heartbeat sends the next heartbeat of a handler and reports whether it was accepted.
func (s *service) heartbeat(in *instance) bool {
	s.mu.Lock()
	in.heartbeatSeq++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"revision":"v1","slots":%d,"oper-state":%q,"call-seq":%d}`, s.name, in.address, in.zone, cmp.Or(s.slots.Load(), 2), in.state, in.heartbeatSeq)
	s.mu.Unlock()
	return s.callCore("PUT", in.id, body) == 200
}

// callCore sends a request for an instance to the cores in turn until one answers with a
// status below 500. It returns that status, or 0 if none does.
func (s *service) callCore(method, id, body string) int {
	for _, c := range s.world.controlAddresses() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		a, err := s.world.client.Do(ctx, c, &httpwire.Call{Method: method, Target: "/v1/instances/" + id, Host: c, Body: []byte(body)})
		cancel()
		if err == nil && a.Status < 500 {
			return a.Status
		}
	}
	return 0
}

func (s *service) serve(in *instance, r *httpwire.Request) *httpwire.Response {
	if want := r.Header.Get("Saltreel-Expect-Instance"); want != "" && want != in.id {
		return &httpwire.Response{Status: 421, Header: []string{"Saltreel-Attempt-Id", r.Header.Get("Saltreel-Attempt-Id")}}
	}
	d := delivery{id: r.Header.Get("Saltreel-Attempt-Id"), key: r.Header.Get("Saltreel-Order-Key"), tenant: r.Header.Get("Saltreel-Tenant"),
		body: string(r.Body), instance: in.id, startedAt: time.Now()}
	if r.Header.Get("Saltreel-Key") != "" {
		s.world.t.Errorf("a client's API key was forwarded to a handler")
	}
	status, took := 200, 5*time.Millisecond
	if s.respond != nil {
		status, took = s.respond(d)
	}
	s.mu.Lock()
	s.deliveries = append(s.deliveries, d)
	at := len(s.deliveries) - 1
	s.mu.Unlock()
	time.Sleep(took)
	s.mu.Lock()
	s.deliveries[at].endedAt = time.Now()
	s.mu.Unlock()
	res := &httpwire.Response{Status: status, Header: []string{"Saltreel-Attempt-Id", d.id}}
	if status == 200 {
		res.Header = append(res.Header, "Saltreel-Server-Seal", "seal-"+d.id)
	}
	return res
}

// deliveryCount returns the number of deliveries of a message.
func (s *service) deliveryCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, d := range s.deliveries {
		if d.id == id {
			n++
		}
	}
	return n
}

// checkDeliveredOnce fails the test unless a message was delivered exactly once.
func (s *service) checkDeliveredOnce(id string) {
	s.world.t.Helper()
	if n := s.deliveryCount(id); n != 1 {
		s.world.t.Errorf("%s was delivered %d times, want 1", id, n)
	}
}

// received returns all deliveries so far, in the order in which they started.
func (s *service) received() []delivery {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]delivery(nil), s.deliveries...)
}
