// Package client owns what clients say: the messages that they hand in and
// the questions that they ask about them.
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

// Message is what a client's request says beyond HTTP.
type Message struct {
	ID       string
	Tenant   string
	OrderKey string
	Delay    time.Duration
	Deadline time.Duration
	Throttle time.Duration // X of the quota of accepted messages
}

// maxID leaves room for the partition in the name of a message.
const maxID = 56

// ParseMessage checks a request that hands in a message. A response tells what
// is wrong.
func ParseMessage(r *httpwire.Request, t *configuration.Table) (*Message, *configuration.Route, *httpwire.Response) {
	route := t.Route(r.Host, r.RequestURI)
	if route == nil {
		return nil, nil, httpwire.Problem(404, "no route fits")
	}
	m := &Message{ID: r.Header.Get("Saltreel-Attempt-Id"), OrderKey: r.Header.Get("Saltreel-Order-Key")}
	tenant := t.Holder(r.Header.Get("Saltreel-Key"))
	if tenant == nil && !route.PublicAccess {
		return nil, nil, httpwire.Problem(401, "the key is unknown")
	}
	if tenant != nil {
		m.Tenant = tenant.Name
	}
	if !proper(m.ID) {
		return nil, nil, httpwire.Problem(400, "Saltreel-Attempt-Id is missing or not proper")
	}
	if len(r.Header.Values("Saltreel-Attempt-Id")) > 1 || len(r.Header.Values("Saltreel-Key")) > 1 || len(r.Header.Values("Saltreel-Order-Key")) > 1 {
		return nil, nil, httpwire.Problem(400, "a Saltreel header is there twice")
	}
	if route.RouteType != "deferred" {
		return nil, nil, httpwire.Problem(501, "the route's type is not deferred")
	}
	var bad bool
	ms := func(name string) time.Duration {
		v := r.Header.Get(name)
		if v == "" {
			return 0
		}
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || x < 0 || x > 1e10 {
			bad = true
		}
		return time.Duration(x * float64(time.Millisecond))
	}
	m.Delay, m.Deadline = ms("Saltreel-Delay-Ms"), ms("Saltreel-Deadline-Ms")
	if bad {
		return nil, nil, httpwire.Problem(400, "a time in a Saltreel header is not a number of milliseconds")
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, nil, httpwire.Problem(405, "the method cannot be deferred")
	}
	return m, route, nil
}

// proper tells whether an id may be part of a message's name.
func proper(id string) bool {
	if id == "" || len(id) > maxID {
		return false
	}
	for _, c := range id {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return true
}

// Name is the name of a message: its partition and its id.
func Name(partition int, id string) string { return strconv.Itoa(partition) + "." + id }

// ParseName takes a name apart.
func ParseName(name string) (partition int, id string, ok bool) {
	at, id, found := strings.Cut(name, ".")
	n, err := strconv.Atoi(at)
	return n, id, found && err == nil && n >= 0 && proper(id)
}

// ParseQuestion tells whether a request asks for the state ("status") or the
// bytes ("body") of a message, and of which.
func ParseQuestion(r *httpwire.Request) (kind, name string, ok bool) {
	if r.Method != http.MethodGet {
		return "", "", false
	}
	if name, ok := strings.CutPrefix(r.URL.Path, "/v1/message/"); ok {
		return "status", name, true
	}
	name, ok = strings.CutPrefix(r.URL.Path, "/v1/message-body/")
	return "body", name, ok
}

// Answer is the state of a message as clients read it.
type Answer struct {
	State string `json:"oper-state"`
	Seal  string `json:"seal,omitempty"`
}

// Status words a state.
func Status(s partition.State, seal string) Answer {
	switch s {
	case partition.Complete:
		return Answer{"complete", seal}
	case partition.Dead:
		return Answer{State: "dead_letter"}
	}
	return Answer{State: "pending"}
}
