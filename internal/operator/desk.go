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

	"saltreel/internal/controlplane"
	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
)

// MaxConfiguration bounds the body of a configuration.
const MaxConfiguration = 4 << 20

// Desk answers the operator at a core.
type Server struct{ Core *controlplane.Server }

// Handle answers one call. A core that is out of touch sends the caller to the
// one that answers, if it knows one: the caller may reach what this core cannot.
func (d *Server) Handle(ctx context.Context, r *httpwire.Request) *httpwire.Response {
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
	var no *controlplane.RejectedError
	var unreached *controlplane.UnavailableError
	switch {
	case errors.As(err, &no):
		return httpwire.Problem(no.Code, no.Text)
	case errors.As(err, &unreached):
		if to := d.Core.Elsewhere(write); to != "" {
			return redirect(to, r)
		}
		return httpwire.Problem(503, err.Error())
	case write: // it may yet take effect: 504 promises nothing
		return httpwire.Problem(504, err.Error())
	}
	return httpwire.Problem(503, err.Error())
}

func redirect(to string, r *httpwire.Request) *httpwire.Response {
	return &httpwire.Response{Status: 307, Header: []string{"Location", "http://" + to + r.URL.RequestURI()}}
}

// handle gives an answer, or the error that Core gave.
func (d *Server) handle(ctx context.Context, r *httpwire.Request) (*httpwire.Response, error) {
	switch {
	case r.URL.Path == "/v1/configuration" && r.Method == http.MethodPut:
		return d.put(ctx, r)
	case r.URL.Path == "/v1/configuration" && r.Method == http.MethodGet:
		return d.get(ctx)
	case r.URL.Path == "/v1/configuration":
		return httpwire.Problem(405, "the configuration takes GET and PUT"), nil
	case strings.HasPrefix(r.URL.Path, "/v1/retire/"):
		return d.retire(ctx, r, strings.TrimPrefix(r.URL.Path, "/v1/retire/"))
	case r.URL.Path == "/v1/status" && r.Method == http.MethodGet:
		s, err := d.Core.Status(ctx)
		return httpwire.JSON(200, s), err
	}
	return httpwire.Problem(404, "no such call: "+r.URL.Path), nil
}

func (d *Server) put(ctx context.Context, r *httpwire.Request) (*httpwire.Response, error) {
	match := int64(0)
	if v := strings.Trim(r.Header.Get("If-Match"), `"`); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return httpwire.Problem(400, "If-Match is not a revision"), nil
		}
		match = n
	}
	if len(r.Body) == 0 {
		return httpwire.Problem(400, "the configuration is empty"), nil
	}
	err := d.Core.Propose(ctx, controlplane.Proposal{Configuration: r.Body, Match: match})
	return httpwire.JSON(200, struct{}{}), err
}

func (d *Server) get(ctx context.Context) (*httpwire.Response, error) {
	raw, err := d.Core.Configuration(ctx)
	if err == nil && raw == nil {
		return httpwire.Problem(404, "there is no configuration yet"), nil
	}
	return &httpwire.Response{Status: 200, Header: []string{"Content-Type", "application/json"}, Body: raw}, err
}

// Retiring is the state of a store that is being emptied.
type Retiring struct {
	State string `json:"oper-state"`
}

func (d *Server) retire(ctx context.Context, r *httpwire.Request, name string) (*httpwire.Response, error) {
	switch r.Method {
	case http.MethodPost:
		var in struct {
			Deadline float64 `json:"deadline-s"`
		}
		if len(r.Body) > 0 && (json.Unmarshal(r.Body, &in) != nil || in.Deadline < 0) {
			return httpwire.Problem(400, "the order cannot be read"), nil
		}
		err := d.Core.Propose(ctx, controlplane.Proposal{Retire: name})
		return httpwire.JSON(200, Retiring{placement.RetireActive}), err
	case http.MethodGet:
		state, err := d.Core.RetireState(ctx, name)
		return httpwire.JSON(200, Retiring{state}), err
	}
	return httpwire.Problem(405, "retire takes POST and GET"), nil
}
