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

// Handle answers one call. A core that is out of touch sends the caller to the
// one that answers, if it knows one: the caller may reach what this core cannot.
func (d *Desk) Handle(ctx context.Context, r *wire.Request) *wire.Response {
	write := r.Method != http.MethodGet
	if !d.Core.Steady() {
		if to := d.Core.Elsewhere(write); to != "" {
			return redirect(to, r)
		}
	}
	answer, err := d.handle(ctx, r)
	if err == nil {
		return answer
	}
	var no *core.Refusal
	var unreached *core.Unreached
	switch {
	case errors.As(err, &no):
		return wire.Problem(no.Code, no.Text)
	case errors.As(err, &unreached):
		if to := d.Core.Elsewhere(write); to != "" {
			return redirect(to, r)
		}
		return wire.Problem(503, err.Error())
	case write: // it may yet take effect: 504 promises nothing
		return wire.Problem(504, err.Error())
	}
	return wire.Problem(503, err.Error())
}

func redirect(to string, r *wire.Request) *wire.Response {
	return &wire.Response{Status: 307, Header: []string{"Location", "http://" + to + r.URL.RequestURI()}}
}

// handle gives an answer, or the error that Core gave.
func (d *Desk) handle(ctx context.Context, r *wire.Request) (*wire.Response, error) {
	switch {
	case r.URL.Path == "/v1/configuration" && r.Method == http.MethodPut:
		return d.put(ctx, r)
	case r.URL.Path == "/v1/configuration" && r.Method == http.MethodGet:
		return d.get(ctx)
	case r.URL.Path == "/v1/configuration":
		return wire.Problem(405, "the configuration takes GET and PUT"), nil
	case strings.HasPrefix(r.URL.Path, "/v1/retire/"):
		return d.retire(ctx, r, strings.TrimPrefix(r.URL.Path, "/v1/retire/"))
	case r.URL.Path == "/v1/status" && r.Method == http.MethodGet:
		s, err := d.Core.Status(ctx)
		return wire.JSON(200, s), err
	}
	return wire.Problem(404, "no such call: "+r.URL.Path), nil
}

func (d *Desk) put(ctx context.Context, r *wire.Request) (*wire.Response, error) {
	match := int64(0)
	if v := strings.Trim(r.Header.Get("If-Match"), `"`); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return wire.Problem(400, "If-Match is not a revision"), nil
		}
		match = n
	}
	if len(r.Body) == 0 {
		return wire.Problem(400, "the configuration is empty"), nil
	}
	err := d.Core.Propose(ctx, core.Proposal{Configuration: r.Body, Match: match})
	return wire.JSON(200, struct{}{}), err
}

func (d *Desk) get(ctx context.Context) (*wire.Response, error) {
	raw, err := d.Core.Configuration(ctx)
	if err == nil && raw == nil {
		return wire.Problem(404, "there is no configuration yet"), nil
	}
	return &wire.Response{Status: 200, Header: []string{"Content-Type", "application/json"}, Body: raw}, err
}

// Retiring is the state of a store that is being emptied.
type Retiring struct {
	State string `json:"oper-state"`
}

func (d *Desk) retire(ctx context.Context, r *wire.Request, name string) (*wire.Response, error) {
	switch r.Method {
	case http.MethodPost:
		var in struct {
			Deadline float64 `json:"deadline-s"`
		}
		if len(r.Body) > 0 && (json.Unmarshal(r.Body, &in) != nil || in.Deadline < 0) {
			return wire.Problem(400, "the order cannot be read"), nil
		}
		err := d.Core.Propose(ctx, core.Proposal{Retire: name})
		return wire.JSON(200, Retiring{core.RetireActive}), err
	case http.MethodGet:
		state, err := d.Core.RetireState(ctx, name)
		return wire.JSON(200, Retiring{state}), err
	}
	return wire.Problem(405, "retire takes POST and GET"), nil
}
