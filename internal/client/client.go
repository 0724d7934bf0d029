// Package client is the HTTP interface for clients beyond plain HTTP: the headers
// of a request that submits a message, the names of messages, and the queries
// about them.
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

// Headers of a request that hands in a message.
const (
	headerAttemptID = "Saltreel-Attempt-Id"
	headerOrderKey  = "Saltreel-Order-Key"
	headerKey       = "Saltreel-Key" // API key of the tenant
	headerDelay     = "Saltreel-Delay-Ms"
	headerDeadline  = "Saltreel-Deadline-Ms"
)

// Paths of the questions about a message, followed by its name.
const (
	statusPath = "/v1/message/"
	bodyPath   = "/v1/message-body/"
)

// maxIDBytes bounds an attempt id, so that the name of a message has room for
// its partition.
const maxIDBytes = 56

// maxMilliseconds bounds the times in headers to about four months, which a
// time.Duration can represent.
const maxMilliseconds = 1e10

// Message is the part of a client's request that is not HTTP.
type Message struct {
	ID       string // the attempt id, by which the client may send it again
	Tenant   string // "" on a route with public access
	OrderKey string // messages of one key are delivered in order; "" for none
	Delay    time.Duration
	Deadline time.Duration
	Throttle time.Duration // throttle time of the quota of accepted messages
}

// ParseMessage reads and checks a request that hands in a message. The route is
// the one that it matches. If the request is wrong, the response says why, and
// the others are nil.
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

// parseMilliseconds reads the value of a header; 0 if there is none.
func parseMilliseconds(value string) (d time.Duration, ok bool) {
	if value == "" {
		return 0, true
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms >= 0 && ms <= maxMilliseconds) { // NaN is none of both
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// isValidID reports whether an attempt id may be part of the name of a message.
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

// Name returns the name of a message: its partition and its attempt id. So any
// edge knows where to ask about it.
func Name(partition int, id string) string { return strconv.Itoa(partition) + "." + id }

// ParseName splits the name of a message; ok is false if it is none.
func ParseName(name string) (partition int, id string, ok bool) {
	number, id, found := strings.Cut(name, ".")
	partition, err := strconv.Atoi(number)
	return partition, id, found && err == nil && partition >= 0 && isValidID(id)
}

// ParseQuestion returns what a request asks about a message, "status" or "body",
// and the name of the message; ok is false if it asks for neither.
func ParseQuestion(r *httpwire.Request) (kind, name string, ok bool) {
	if r.Method != http.MethodGet {
		return "", "", false
	}
	if name, ok := strings.CutPrefix(r.URL.Path, statusPath); ok {
		return "status", name, true
	}
	name, ok = strings.CutPrefix(r.URL.Path, bodyPath)
	return "body", name, ok
}

// Answer is the state of a message as clients read it.
type Answer struct {
	State string `json:"oper-state"`     // "pending", "complete" or "dead_letter"
	Seal  string `json:"seal,omitempty"` // of a complete message
}

// Status returns the answer for a state. The seal is that of the message.
func Status(state partition.State, seal string) Answer {
	switch state {
	case partition.Complete:
		return Answer{State: "complete", Seal: seal}
	case partition.Dead:
		return Answer{State: "dead_letter"}
	}
	return Answer{State: "pending"}
}
