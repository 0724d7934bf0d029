package edge

import (
	"context"
	"math"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"saltreel/internal/client"
	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/partition"
	"saltreel/internal/quota"
)

// handle answers one request of a client: a query or a message.
func (e *Edge) handle(ctx context.Context, r *httpwire.Request) *httpwire.Response {
	if !e.node.WaitForPlacement(ctx, e.timing.placementWait()) {
		return withRetryAfter(httpwire.Problem(503, "no configuration is known here yet"), quota.Window)
	}
	table := e.node.Table()
	e.quotas.ApplyLimits(table)
	if kind, name, ok := client.ParseQuestion(r); ok {
		return e.answerQuery(ctx, r, table, kind, name)
	}
	m, route, problem := client.ParseMessage(r, table)
	if problem != nil {
		return problem
	}
	start := time.Now()
	response := e.admit(ctx, r, table, m, route)
	waitTime := time.Since(start) + r.Read.Sub(r.Received)
	e.throttle(r, m, route, waitTime, response)
	return response
}

// answerPanic answers a request whose handler panicked. An edge keeps nothing
// between requests that the other requests depend on, so it goes on. The message
// may have been accepted.
func (e *Edge) answerPanic(r *httpwire.Request, reason any) *httpwire.Response {
	e.log.Printf("edge: panic at %s %s: %v\n%s", r.Method, r.URL.Path, reason, debug.Stack())
	response := httpwire.Problem(http.StatusBadGateway, "an internal error; the message may have been accepted")
	response.Close = true
	return response
}

// throttle records what a request used. Over a limit, the answer goes out at once
// and names the throttle time X; then reads from the connection stop for as long.
func (e *Edge) throttle(r *httpwire.Request, m *client.Message, route *configuration.Route, waitTime time.Duration, response *httpwire.Response) {
	processingTime := time.Since(r.Received) - waitTime
	throttleTime, limitingQuota := e.quotas.RecordRequest(m.Tenant, route.Name, len(r.Body), processingTime, m.Throttle)
	shared := r.Conn.Shared(m.Tenant)
	if throttleTime <= 0 {
		return
	}
	response.Header = append(response.Header, "Saltreel-Throttle-Ms", strconv.FormatInt(min(throttleTime, quota.Window).Milliseconds(), 10))
	if !shared { // a hold would make other tenants wait
		r.Conn.Hold(limitingQuota.Throttle(throttleTime))
	}
}

// admit decides on a message and forwards it to the stores.
func (e *Edge) admit(ctx context.Context, r *httpwire.Request, table *configuration.Table, m *client.Message, route *configuration.Route) *httpwire.Response {
	ctx, cancel := context.WithDeadline(ctx, r.Received.Add(e.timing.messageTimeout(m.Deadline)))
	defer cancel()
	if tenant := table.Tenant(m.Tenant); tenant != nil && tenant.RatePerS > 0 {
		if refusal := e.checkRate(ctx, tenant, m, route); refusal != nil {
			return refusal
		}
	}
	record := partition.Record{
		ID: m.ID, Tenant: m.Tenant, Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Type: r.Header.Get("Content-Type"), OrderKey: m.OrderKey, Revision: table.Revision, Body: r.Body,
	}
	number, err := e.forward(ctx, route, table.Service(route.Service), &record, m.Delay, r.Received)
	if err != nil {
		return e.forwardErrorResponse(m.ID, err)
	}
	return &httpwire.Response{Status: 202, Header: []string{"Saltreel-Message-Name", client.Name(number, m.ID)}}
}

// checkRate uses up one message of the tenant's limit. It gives the 429 where the
// tenant is over it, else nil. What is asked is recorded, then checked. The limit
// binds over all nodes, so here a lease decides, and X follows from what was granted.
func (e *Edge) checkRate(ctx context.Context, tenant *configuration.Tenant, m *client.Message, route *configuration.Route) *httpwire.Response {
	m.Throttle = e.quotas.AcceptedMessages.Record(m.Tenant, route.Name, 1)
	if wait := e.leases.Acquire(ctx, tenant); wait > 0 {
		// The connection is held until the next lease only: the tenant is
		// still owed its limit, also on the connections it has.
		throttleTime := max(wait, e.leases.ThrottleTime(tenant, e.quotas.AcceptedMessages.Rate(m.Tenant, route.Name)))
		m.Throttle = min(wait, throttleTime)
		return withRetryAfter(httpwire.Problem(429, "tenant "+m.Tenant+" is over its limit"), throttleTime)
	}
	return nil
}

// withRetryAfter adds when the client should come back, in whole seconds and at
// least one.
func withRetryAfter(response *httpwire.Response, wait time.Duration) *httpwire.Response {
	seconds := int(math.Max(1, math.Ceil(wait.Seconds())))
	response.Header = append(response.Header, "Retry-After", strconv.Itoa(seconds))
	return response
}
