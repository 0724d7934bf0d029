// Package client defines the parts of the HTTP client interface that go beyond plain HTTP: the
// headers of a message submission, message names, and message queries.
package client

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/partition"
)

// Headers of a message submission.
const (
	headerAttemptID = "Saltreel-Attempt-Id"
	headerOrderKey  = "Saltreel-Order-Key"
	headerKey       = "Saltreel-Key" // API key of the tenant
	headerDelay     = "Saltreel-Delay-Ms"
	headerDeadline  = "Saltreel-Deadline-Ms"
)

// Path prefixes of message queries, followed by the message name.
const (
	statusPath = "/v1/message/"
	bodyPath   = "/v1/message-body/"
)

// maxIDBytes limits an attempt ID so that the message name has room for its partition.
const maxIDBytes = 56

// maxMilliseconds limits times in headers to about four months, which a time.Duration can
// represent.
const maxMilliseconds = 1e10

// Message holds the non-HTTP part of a message submission.
type Message struct {
	ID       string // attempt ID, which the client reuses when it retries
	Tenant   string // empty on a route with public access
	OrderKey string // messages with the same key are delivered in order; may be empty
	Delay    time.Duration
	Deadline time.Duration
	Throttle time.Duration // throttle time of the quota of accepted messages
}

// ParseMessage parses and validates a message submission and returns the message and the
// matching route. If the request is invalid, it returns only the error response.
func ParseMessage(r *httpwire.Request, t *configuration.Table) (*Message, *configuration.Route, *httpwire.Response) {
	route := t.Route(r.Host, r.RequestURI)
	if route == nil {
		return nil, nil, httpwire.Problem(http.StatusNotFound, "no route fits")
	}
	m := &Message{ID: r.Header.Get(headerAttemptID), OrderKey: r.Header.Get(headerOrderKey)}
	tenant := t.TenantByKey(r.Header.Get(headerKey))
	if tenant == nil && !route.PublicAccess {
		return nil, nil, httpwire.Problem(http.StatusUnauthorized, "the key is unknown")
	}
	if tenant != nil {
		m.Tenant = tenant.Name
	}
	if !isValidID(m.ID) {
		return nil, nil, httpwire.Problem(http.StatusBadRequest, "Saltreel-Attempt-Id is missing or not proper")
	}
	if isRepeated(r.Header, headerAttemptID) || isRepeated(r.Header, headerKey) || isRepeated(r.Header, headerOrderKey) {
		return nil, nil, httpwire.Problem(http.StatusBadRequest, "a Saltreel header is there twice")
	}
	if route.RouteType != "deferred" {
		return nil, nil, httpwire.Problem(http.StatusNotImplemented, "the route's type is not deferred")
	}
	var delayOK, deadlineOK bool
	m.Delay, delayOK = parseMilliseconds(r.Header.Get(headerDelay))
	m.Deadline, deadlineOK = parseMilliseconds(r.Header.Get(headerDeadline))
	if !delayOK || !deadlineOK {
		return nil, nil, httpwire.Problem(http.StatusBadRequest, "a time in a Saltreel header is not a number of milliseconds")
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, nil, httpwire.Problem(http.StatusMethodNotAllowed, "the method cannot be deferred")
	}
	return m, route, nil
}

func isRepeated(h http.Header, name string) bool { return len(h.Values(name)) > 1 }

// parseMilliseconds parses a header value in milliseconds; an empty value is 0.
func parseMilliseconds(value string) (d time.Duration, ok bool) {
	if value == "" {
		return 0, true
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms >= 0 && ms <= maxMilliseconds) { // false for NaN
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// isValidID reports whether an attempt ID can be part of a message name.
func isValidID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, c := range id {
		if !isValidInID(c) {
			return false
		}
	}
	return true
}

func isValidInID(c rune) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.'
}

// Name returns the name of a message, which consists of its partition and attempt ID, so that
// any edge can locate the message from its name.
func Name(partition int, id string) string { return strconv.Itoa(partition) + "." + id }

// ParseName splits a message name into partition and attempt ID. It returns false if the name
// is invalid.
func ParseName(name string) (partition int, id string, ok bool) {
	number, id, found := strings.Cut(name, ".")
	partition, err := strconv.Atoi(number)
	return partition, id, found && err == nil && partition >= 0 && isValidID(id)
}

// ParseQuery returns the kind of a message query, "status" or "body", and the message name. It
// returns false if the request is not a message query.
func ParseQuery(r *httpwire.Request) (kind, name string, ok bool) {
	if r.Method != http.MethodGet {
		return "", "", false
	}
	if name, ok := strings.CutPrefix(r.URL.Path, statusPath); ok {
		return "status", name, true
	}
	name, ok = strings.CutPrefix(r.URL.Path, bodyPath)
	return "body", name, ok
}

// StatusResponse is the JSON response to a status query.
type StatusResponse struct {
	State string `json:"oper-state"`     // "pending", "complete" or "dead_letter"
	Seal  string `json:"seal,omitempty"` // set if the message is complete
}

// NewStatusResponse returns the response for a message with the given state and seal.
func NewStatusResponse(state partition.State, seal string) StatusResponse {
	switch state {
	case partition.Complete:
		return StatusResponse{State: "complete", Seal: seal}
	case partition.DeadLetter:
		return StatusResponse{State: "dead_letter"}
	}
	return StatusResponse{State: "pending"}
}
