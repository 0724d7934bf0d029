// Package edge owns the role of an edge machine: it admits what clients send,
// brings it to the stores, and answers questions about messages.
package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"math"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"saltreel/internal/client"
	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/node"
	"saltreel/internal/partition"
	"saltreel/internal/platform"
	"saltreel/internal/quota"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
	"saltreel/internal/store"
)

// Edge is one edge machine's process.
type Edge struct {
	set     *settings.Settings
	log     *log.Logger
	network httpwire.Network
	node    *node.Node
	grants  *grants
	waning  atomic.Bool

	bytes    *quota.Manager
	time     *quota.Manager
	accepted *quota.Manager

	mu      sync.Mutex
	limited *configuration.Table // whose limits the quotas hold
	hangs   map[int]hang         // by partition
}

// New makes the process.
func New(set *settings.Settings, network httpwire.Network, logger *log.Logger) *Edge {
	e := &Edge{
		set: set, log: logger, network: network, node: node.New(node.Config{Settings: set, Role: "edge", Network: network, Log: logger}), hangs: map[int]hang{},
		bytes: quota.NewManager(quota.RequestBytes), time: quota.NewManager(quota.RequestTime), accepted: quota.NewManager(quota.Accepted),
	}
	// One tenant may have half of what this node's processor can do.
	e.time.Limit(quota.Entity{Tenant: quota.Default}, set.Limits.CpuShare*max(1, set.Limits.CoreCount)/2)
	e.grants = &grants{node: e.node, tenants: map[string]*grant{}}
	return e
}

// Reload takes over what may change while the process runs.
func (e *Edge) Reload(s *settings.Settings) { e.node.Reload(s) }

// ready tells why the node wants no new connections, if so.
func (e *Edge) ready() error {
	switch {
	case e.waning.Load():
		return errors.New("stopping")
	case e.node.Table() == nil:
		return errors.New("no configuration is known yet")
	case e.node.Placement() == nil:
		return errors.New("no store is known yet")
	}
	return nil
}

// Run serves until ctx ends, answers what was read, and returns.
func (e *Edge) Run(ctx context.Context) error {
	inner, err := e.network.Listen(e.set.Internal())
	if err != nil {
		return fmt.Errorf("listen for our own processes: %w", err)
	}
	outer, err := e.network.Listen(e.set.Listeners.DataPlane)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	asked, err := e.network.Listen(e.set.Listeners.Readiness)
	if err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	life, end := context.WithCancel(context.Background())
	defer end()
	source := e.node.Publisher()
	own := &httpwire.Server{Log: e.log, Handle: rpc.Mux{"/news": source.Handle}.Handle}
	clients := &httpwire.Server{Log: e.log, Handle: e.handle, Limits: e.limits}
	var tasks sync.WaitGroup
	for _, f := range []func(){
		func() { _ = own.Serve(life, inner) },
		func() { _ = clients.Serve(life, outer) },
		func() { _ = platform.ServeReadiness(life, asked, e.ready) },
		func() { e.node.Run(life) },
		func() { e.grants.run(life) },
		func() { e.bytes.Reap(life) },
		func() { e.time.Reap(life) },
		func() { e.accepted.Reap(life) },
	} {
		tasks.Go(f)
	}
	e.log.Printf("edge: started")
	<-ctx.Done()
	// Not ready any more, but serving until the platform has noticed; then
	// what was read is answered, and held connections wait no longer.
	grace := settings.Seconds(e.set.Timers.GraceS)
	e.log.Printf("edge: stopping")
	e.waning.Store(true)
	e.node.Drain()
	clients.StopKeepAlives()
	wait := time.NewTimer(grace * 2 / 5)
	<-wait.C
	stop, cancel := context.WithTimeout(context.Background(), grace*2/5)
	defer cancel()
	clients.Shutdown(stop)
	end()
	tasks.Wait()
	e.log.Printf("edge: ended")
	return nil
}

// limits are those of the configuration, or narrow ones before the first.
func (e *Edge) limits() httpwire.Limits {
	t := e.node.Table()
	l := &configuration.Limits{}
	if t != nil && t.Limits != nil {
		l = t.Limits
	}
	or := func(v, d int64) int64 {
		if v > 0 {
			return v
		}
		return d
	}
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	contact := e.set.Contact().Milliseconds()
	return httpwire.Limits{
		HeaderBytes:   int(or(l.MaxHeaderBytes, 16<<10)),
		BodyBytes:     int(or(l.MaxBodyBytes, 256<<10)),
		HeaderTimeout: ms(or(l.HeaderTimeoutMs, contact)),
		BodyTimeout:   ms(2 * or(l.HeaderTimeoutMs, contact)),
		IdleTimeout:   ms(or(l.IdleTimeoutMs, 4*contact)),
	}
}

// bound gives the quotas the limits of a new configuration.
func (e *Edge) bound(t *configuration.Table) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limited != t {
		e.limited = t
		e.bytes.Replace(store.ByteLimits(t))
		rates := map[quota.Entity]float64{}
		for _, x := range t.TenantTable {
			if x.RatePerS > 0 {
				rates[quota.Entity{Tenant: x.Name}] = x.RatePerS
			}
		}
		e.accepted.Replace(rates)
	}
}

// handle answers one request of a client.
func (e *Edge) handle(ctx context.Context, r *httpwire.Request) *httpwire.Response {
	// An edge that just started hears the news within moments.
	if !e.node.WaitForPlacement(ctx, e.set.Contact()/8) {
		return later(httpwire.Problem(503, "no configuration is known here yet"), quota.Window)
	}
	table := e.node.Table()
	e.bound(table)
	if kind, name, ok := client.ParseQuestion(r); ok {
		return e.answer(ctx, r, table, kind, name)
	}
	m, route, problem := client.ParseMessage(r, table)
	if problem != nil {
		return problem
	}
	res, wait := e.admit(ctx, r, table, m, route)
	// The answer goes out at once and tells X; then reads from the connection
	// stop for as long.
	x, by := e.measure(m, route, r, wait)
	shared := r.Conn.Shared(m.Tenant)
	if x > 0 {
		res.Header = append(res.Header, "Saltreel-Throttle-Ms", strconv.FormatInt(min(x, quota.Window).Milliseconds(), 10))
		if !shared { // a hold must not make other tenants wait
			r.Conn.Hold(by.Hold(x))
		}
	}
	return res
}

// measure records what the request used and gives the longest throttle time,
// with the type of quota that asks for it.
func (e *Edge) measure(m *client.Message, route *configuration.Route, r *httpwire.Request, wait time.Duration) (time.Duration, *quota.Manager) {
	x, by := e.bytes.Record(m.Tenant, route.Name, float64(len(r.Body))), e.bytes
	spent := time.Since(r.Received) - wait
	if y := e.time.Record(m.Tenant, route.Name, max(0, spent.Seconds())); y > x {
		x, by = y, e.time
	}
	if y := m.Throttle; y > x {
		x, by = y, e.accepted
	}
	return x, by
}

// admit decides on a message and brings it to the stores. It tells how much of
// the time it only waited.
func (e *Edge) admit(ctx context.Context, r *httpwire.Request, table *configuration.Table, m *client.Message, route *configuration.Route) (*httpwire.Response, time.Duration) {
	began := time.Now()
	waited := func() time.Duration { return time.Since(began) + r.Read.Sub(r.Received) }
	deadline := m.Deadline
	if deadline <= 0 {
		deadline = e.set.Contact() / 2
	}
	ctx, cancel := context.WithDeadline(ctx, r.Received.Add(deadline*24/25))
	defer cancel()
	if tenant := table.Tenant(m.Tenant); tenant != nil && tenant.RatePerS > 0 {
		// What is asked is recorded, then checked. The limit binds over all
		// nodes, so here a grant decides, and X follows from what was granted.
		m.Throttle = e.accepted.Record(m.Tenant, route.Name, 1)
		if wait := e.grants.take(ctx, tenant); wait > 0 {
			// The connection is held until the next grant only: the tenant is
			// still owed its limit, also on the connections it has.
			x := max(wait, e.grants.excess(tenant, e.accepted.Rate(m.Tenant, route.Name)))
			m.Throttle = min(wait, x)
			return later(httpwire.Problem(429, "tenant "+m.Tenant+" is over its limit"), x), waited()
		}
	}
	record := partition.Record{
		ID: m.ID, Tenant: m.Tenant, Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Type: r.Header.Get("Content-Type"), OrderKey: m.OrderKey, Revision: table.Revision, Body: r.Body,
	}
	n, err := e.forward(ctx, route, table.Service(route.Service), &record, m.Delay, r.Received)
	switch {
	case err == nil:
		return &httpwire.Response{Status: 202, Header: []string{"Saltreel-Message-Name", client.Name(n, m.ID)}}, waited()
	case errors.Is(err, errTaken):
		return httpwire.Problem(400, err.Error()), waited()
	case errors.Is(err, errNotTaken):
		e.log.Printf("edge: 503 to %s: %v", m.ID, err)
		return later(httpwire.Problem(503, "the message was not taken: "+err.Error()), e.set.Contact()/8), waited()
	}
	e.log.Printf("edge: 504 to %s: %v", m.ID, err)
	return httpwire.Problem(504, err.Error()), waited()
}

// later adds when to come back.
func later(r *httpwire.Response, wait time.Duration) *httpwire.Response {
	r.Header = append(r.Header, "Retry-After", strconv.Itoa(int(math.Max(1, math.Ceil(wait.Seconds())))))
	return r
}

// answer answers a question about a message.
func (e *Edge) answer(ctx context.Context, r *httpwire.Request, table *configuration.Table, kind, name string) *httpwire.Response {
	if !table.HasHost(r.Host) {
		return httpwire.Problem(404, "no route has this host")
	}
	tenant := ""
	if t := table.Holder(r.Header.Get("Saltreel-Key")); t != nil {
		tenant = t.Name
	} else if r.Header.Get("Saltreel-Key") != "" || len(table.TenantTable) > 0 {
		return httpwire.Problem(401, "the key is unknown")
	}
	n, id, ok := client.ParseName(name)
	if !ok {
		return httpwire.Problem(404, "no such message")
	}
	ctx, cancel := context.WithTimeout(ctx, e.set.Contact()*9/20)
	defer cancel()
	a, err := e.ask(ctx, "/"+kind, store.MessageQuery{Partition: n, ID: id, Tenant: tenant, Host: r.Host})
	if err != nil {
		if rpc.StatusCode(err) == 404 {
			return httpwire.Problem(404, "no such message")
		}
		e.log.Printf("edge: %s of %s: %v", kind, name, err)
		return later(httpwire.Problem(503, "the store of the message does not answer"), e.set.Contact()/8)
	}
	if a.Status != 200 {
		return httpwire.Problem(a.Status, strings.TrimSpace(string(a.Body)))
	}
	if kind == "body" {
		return &httpwire.Response{Status: 200, Header: []string{"Content-Type", "application/octet-stream"}, Body: a.Body}
	}
	var s store.MessageStatus
	if err := json.Unmarshal(a.Body, &s); err != nil {
		return httpwire.Problem(502, "the store's answer cannot be read")
	}
	return httpwire.JSON(200, client.Status(s.State, s.Seal))
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("edge: a call cannot be encoded: " + err.Error())
	}
	return raw
}
