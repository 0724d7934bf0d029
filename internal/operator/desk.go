// Package operator owns what the operator says: the orders that a core takes,
// and the commands that send them.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"saltreel/internal/core"
	"saltreel/internal/wire"
)

// MaxConfiguration bounds the body of a configuration.
const MaxConfiguration = 4 << 20

// Desk answers the operator at a core.
type Desk struct{ Core *core.Core }

// Handle answers one call.
func (d *Desk) Handle(ctx context.Context, r *wire.Request) *wire.Response {
	switch {
	case r.URL.Path == "/v1/configuration" && r.Method == http.MethodPut:
		return d.put(ctx, r)
	case r.URL.Path == "/v1/configuration" && r.Method == http.MethodGet:
		return d.get(ctx)
	case r.URL.Path == "/v1/configuration":
		return wire.Problem(405, "the configuration takes GET and PUT")
	case strings.HasPrefix(r.URL.Path, "/v1/retire/"):
		return d.retire(ctx, r, strings.TrimPrefix(r.URL.Path, "/v1/retire/"))
	case r.URL.Path == "/v1/status" && r.Method == http.MethodGet:
		s, err := d.Core.Status(ctx)
		if err != nil {
			return problem(err)
		}
		return wire.JSON(200, s)
	}
	return wire.Problem(404, "no such call: "+r.URL.Path)
}

// problem turns an error into an answer. What failed on the way may yet take
// effect, so it is a 504, which promises nothing.
func problem(err error) *wire.Response {
	var s *wire.Status
	if errors.As(err, &s) {
		if s.Code == 421 { // the view changes just now; nothing was done here
			return wire.Problem(504, err.Error())
		}
		text := s.Text
		var inner struct {
			Text string `json:"error-text"`
		}
		if json.Unmarshal([]byte(text), &inner) == nil && inner.Text != "" {
			text = inner.Text
		}
		return wire.Problem(s.Code, text)
	}
	return wire.Problem(504, err.Error())
}

func (d *Desk) put(ctx context.Context, r *wire.Request) *wire.Response {
	match := int64(0)
	if v := strings.Trim(r.Header.Get("If-Match"), `"`); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return wire.Problem(400, "If-Match is not a revision")
		}
		match = n
	}
	if len(r.Body) == 0 {
		return wire.Problem(400, "the configuration is empty")
	}
	if err := d.Core.Propose(ctx, core.Proposal{Configuration: r.Body, Match: match}); err != nil {
		return problem(err)
	}
	return wire.JSON(200, struct{}{})
}

func (d *Desk) get(ctx context.Context) *wire.Response {
	raw, err := d.Core.Configuration(ctx)
	if err != nil {
		return problem(err)
	}
	if raw == nil {
		return wire.Problem(404, "there is no configuration yet")
	}
	return &wire.Response{Status: 200, Header: []string{"Content-Type", "application/json"}, Body: raw}
}

// Retiring is the state of a store that is being emptied.
type Retiring struct {
	State string `json:"oper-state"`
}

func (d *Desk) retire(ctx context.Context, r *wire.Request, name string) *wire.Response {
	switch r.Method {
	case http.MethodPost:
		var in struct {
			Deadline float64 `json:"deadline-s"`
		}
		if len(r.Body) > 0 && json.Unmarshal(r.Body, &in) != nil {
			return wire.Problem(400, "the order cannot be read")
		}
		if err := d.Core.Propose(ctx, core.Proposal{Retire: name}); err != nil {
			return problem(err)
		}
		return wire.JSON(200, Retiring{core.RetireActive})
	case http.MethodGet:
		state, err := d.Core.RetireState(ctx, name)
		if err != nil {
			return problem(err)
		}
		return wire.JSON(200, Retiring{state})
	}
	return wire.Problem(405, "retire takes POST and GET")
}
