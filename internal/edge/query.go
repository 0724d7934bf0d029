package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"saltreel/internal/client"
	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
	"saltreel/internal/store"
	"saltreel/internal/timeutil"
)

// errUnknownPartition means that the known placement lacks the partition that the
// message name refers to.
var errUnknownPartition = errors.New("the partition of the message is not known here")

// queryCopies is how many copies of a body are held while it is read from a store.
const queryCopies = 2

// answerQuery serves a query for the state (kind "status") or the body (kind "body")
// of a message.
func (e *Edge) answerQuery(ctx context.Context, r *httpwire.Request, table *configuration.Table, kind, name string) *httpwire.Response {
	tenant, ok := queryTenant(table, r.Header.Get("Saltreel-Key"))
	if !ok {
		return httpwire.Problem(401, "the key is unknown")
	}
	partition, id, ok := client.ParseName(name)
	if !ok {
		return httpwire.Problem(404, "no such message")
	}
	if kind == "body" && !r.ReserveResponse(queryCopies*e.limits().BodyBytes) {
		return httpwire.Unavailable()
	}
	ctx, cancel := context.WithTimeout(ctx, e.timing.queryTimeout())
	defer cancel()
	answer, err := e.queryPrimary(ctx, "/"+kind, store.MessageQuery{Partition: partition, ID: id, Tenant: tenant, Host: r.Host})
	if err != nil {
		e.log.Printf("edge: %s of %s: %v", kind, name, err)
		return withRetryAfter(httpwire.Problem(503, "the store of the message does not answer"), e.timing.unavailableRetryAfter())
	}
	return queryResponse(kind, answer)
}

// queryTenant returns the name of the tenant that the key belongs to, or "" if the
// configuration has no tenants and the request no key. ok is false if the key is
// unknown.
func queryTenant(table *configuration.Table, key string) (name string, ok bool) {
	if tenant := table.TenantByKey(key); tenant != nil {
		return tenant.Name, true
	}
	return "", key == "" && len(table.TenantTable) == 0
}

// queryResponse converts the final response of a store to the response for the client.
func queryResponse(kind string, answer *httpwire.ClientResponse) *httpwire.Response {
	if answer.Status != 200 {
		return httpwire.Problem(answer.Status, strings.TrimSpace(string(answer.Body)))
	}
	if kind == "body" {
		return &httpwire.Response{Status: 200, Header: []string{"Content-Type", "application/octet-stream"}, Body: answer.Body}
	}
	var status store.MessageStatus
	if err := json.Unmarshal(answer.Body, &status); err != nil {
		return httpwire.Problem(502, "the store's answer cannot be read")
	}
	return httpwire.JSON(200, client.NewStatusResponse(status.State, status.Seal))
}

// queryPrimary queries the current primary of the message's partition until it
// returns a final response (200, 404 or 410) or ctx ends, in which case the error is
// that of the last attempt. It returns errUnknownPartition if the known placement
// lacks the partition, as may happen just after the start of an edge: only the store
// can tell that the message does not exist.
func (e *Edge) queryPrimary(ctx context.Context, path string, query store.MessageQuery) (*httpwire.ClientResponse, error) {
	body, err := json.Marshal(query)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", path, err)
	}
	for {
		placementChanged := e.node.PlacementChanged()
		p := e.node.Placement()
		if p == nil {
			timeutil.SleepUntil(ctx, e.timing.queryRetryDelay(), placementChanged)
			if ctx.Err() != nil {
				return nil, errUnknownPartition
			}
			continue
		}
		if query.Partition >= len(p.Partitions) {
			return nil, errUnknownPartition
		}
		primary := p.Partitions[query.Partition].Primary
		answer, err := e.sendQuery(ctx, p.Stores[primary].Address, path, body)
		if err == nil && isFinal(answer.Status) {
			return answer, nil
		}
		if err != nil {
			if ctx.Err() == nil {
				e.node.ReportFailure(primary, httpwire.ConnectionRefused(err))
			}
		} else {
			err = &rpc.StatusError{Code: answer.Status, Text: string(answer.Body)}
		}
		timeutil.SleepUntil(ctx, e.timing.queryRetryDelay(), placementChanged)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

func (e *Edge) sendQuery(ctx context.Context, address, path string, body []byte) (*httpwire.ClientResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, e.timing.queryAttemptTimeout())
	defer cancel()
	return e.node.Client.Send(ctx, address, path, body)
}

// isFinal reports whether repeating a query cannot change the store's response.
func isFinal(status int) bool { return status == 200 || status == 404 || status == 410 }
