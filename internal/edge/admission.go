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

// handle serves one client request: a query or a message.
func (e *Edge) handle(ctx context.Context, r *httpwire.Request) *httpwire.Response {
	if !e.node.WaitForPlacement(ctx, e.timing.placementWait()) {
		return withRetryAfter(httpwire.Problem(503, "no configuration is known here yet"), quota.Window)
	}
	table := e.node.Table()
	e.quotas.ApplyLimits(table)
	if kind, name, ok := client.ParseQuery(r); ok {
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

// answerPanic responds to a request whose handler panicked. An edge keeps no state
// between requests that other requests depend on, so the process continues. The
// message may have been accepted.
func (e *Edge) answerPanic(r *httpwire.Request, reason any) *httpwire.Response {
	e.log.Printf("edge: panic at %s %s: %v\n%s", r.Method, r.URL.Path, reason, debug.Stack())
	response := httpwire.Problem(http.StatusBadGateway, "an internal error; the message may have been accepted")
	response.Close = true
	return response
}

// throttle records the resource usage of a request. waitTime is the time in which the
// request was read and admitted; it does not count as processing time. If a quota is
// exceeded, the response is sent at once with the throttle time in a header, and reads
// from the connection are paused for that time unless other tenants share it.
func (e *Edge) throttle(r *httpwire.Request, m *client.Message, route *configuration.Route, waitTime time.Duration, response *httpwire.Response) {
	processingTime := time.Since(r.Received) - waitTime
	throttleTime, limitingQuota := e.quotas.RecordRequest(m.Tenant, route.Name, len(r.Body), processingTime, m.Throttle)
	shared := r.Conn.AddUser(m.Tenant)
	if throttleTime <= 0 {
		return
	}
	response.Header = append(response.Header, "Saltreel-Throttle-Ms", strconv.FormatInt(min(throttleTime, quota.Window).Milliseconds(), 10))
	if !shared { // pausing a shared connection would delay other tenants
		r.Conn.PauseReads(limitingQuota.Throttle(throttleTime))
	}
}

// admit checks the tenant's rate limit and forwards the message to a store.
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
	partitionNumber, err := e.forward(ctx, route, table.Service(route.Service), &record, m.Delay, r.Received)
	if err != nil {
		return e.forwardErrorResponse(m.ID, err)
	}
	return &httpwire.Response{Status: 202, Header: []string{"Saltreel-Message-Name", client.Name(partitionNumber, m.ID)}}
}

// checkRate consumes one message of the tenant's rate limit. It returns a 429
// response if the tenant exceeds the limit, else nil. Demand is recorded before it is
// checked. The limit applies across all nodes, so a lease decides here, and the
// throttle time is derived from the rate that was granted.
func (e *Edge) checkRate(ctx context.Context, tenant *configuration.Tenant, m *client.Message, route *configuration.Route) *httpwire.Response {
	m.Throttle = e.quotas.AcceptedMessages.Record(m.Tenant, route.Name, 1)
	if wait := e.leases.Acquire(ctx, tenant); wait > 0 {
		// Reads from the connection are paused only until the next lease: the tenant
		// is still entitled to its limit, including on its existing connections.
		throttleTime := max(wait, e.leases.ThrottleTime(tenant, e.quotas.AcceptedMessages.Rate(m.Tenant, route.Name)))
		m.Throttle = min(wait, throttleTime)
		return withRetryAfter(httpwire.Problem(429, "tenant "+m.Tenant+" is over its limit"), throttleTime)
	}
	return nil
}

// withRetryAfter adds a Retry-After header with the wait rounded up to whole
// seconds, at least one.
func withRetryAfter(response *httpwire.Response, wait time.Duration) *httpwire.Response {
	seconds := int(math.Max(1, math.Ceil(wait.Seconds())))
	response.Header = append(response.Header, "Retry-After", strconv.Itoa(seconds))
	return response
}
