// Package operator is the operator's interface to the control plane: the HTTP server
// at each core, and the client used by the commands. docs/operations.md describes the
// requests.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"saltreel/internal/controlplane"
	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
)

// MaxConfigurationBytes bounds the body of a configuration request.
const MaxConfigurationBytes = 4 << 20

// Paths of the operator's interface.
const (
	configurationPath = "/v1/configuration"
	statusPath        = "/v1/status"
	retirePath        = "/v1/retire/" // followed by the name of the store
)

// readCopies is how many copies of the control state the response to a read needs: read
// from the tail of the chain, decoded, and encoded.
const readCopies = 3

// Server serves the requests of the operator at one core.
type Server struct{ Core *controlplane.Server }

// Handle serves one request. A core that cannot serve it redirects the client to the
// core that can, if it knows one, since the client may be able to reach that core even
// if this one cannot.
func (s *Server) Handle(ctx context.Context, r *httpwire.Request) *httpwire.Response {
	write := r.Method != http.MethodGet
	if !write && !r.ReserveResponse(readCopies*s.Core.StateBytes()) {
		return httpwire.Unavailable()
	}
	if !s.Core.InContact() {
		if target := s.Core.RedirectAddress(write); target != "" {
			return redirect(target, r)
		}
	}
	response, err := s.route(ctx, r)
	if err == nil {
		return response
	}
	if isUnavailable(err) {
		if target := s.Core.RedirectAddress(write); target != "" {
			return redirect(target, r)
		}
	}
	return httpwire.Problem(statusOf(err, write))
}

func redirect(address string, r *httpwire.Request) *httpwire.Response {
	return &httpwire.Response{Status: http.StatusTemporaryRedirect, Header: []string{"Location", "http://" + address + r.URL.RequestURI()}}
}

// route returns the response to a request, or the error of the control plane.
func (s *Server) route(ctx context.Context, r *httpwire.Request) (*httpwire.Response, error) {
	path := r.URL.Path
	switch {
	case path == configurationPath && (r.Method == http.MethodPut || r.Method == http.MethodPatch):
		return s.changeConfiguration(ctx, r)
	case path == configurationPath && r.Method == http.MethodGet:
		return s.getConfiguration(ctx)
	case path == configurationPath:
		return httpwire.Problem(http.StatusMethodNotAllowed, "the configuration supports GET, PUT and PATCH"), nil
	case strings.HasPrefix(path, retirePath):
		return s.retire(ctx, r, strings.TrimPrefix(path, retirePath))
	case path == statusPath && r.Method == http.MethodGet:
		overview, err := s.Core.Status(ctx)
		return httpwire.JSON(http.StatusOK, overview), err
	}
	return httpwire.Problem(http.StatusNotFound, "no such call: "+path), nil
}

// changeConfiguration accepts a whole configuration (PUT) or a change of named items
// (PATCH).
func (s *Server) changeConfiguration(ctx context.Context, r *httpwire.Request) (*httpwire.Response, error) {
	baseRevision, err := parseRevision(r.Header.Get("If-Match"))
	if err != nil {
		return httpwire.Problem(http.StatusBadRequest, "If-Match is not a revision"), nil
	}
	if len(r.Body) == 0 {
		return httpwire.Problem(http.StatusBadRequest, "the request body is empty"), nil
	}
	proposal := controlplane.Proposal{BaseRevision: baseRevision}
	if r.Method == http.MethodPatch {
		proposal.Patch = r.Body
	} else {
		proposal.Configuration = r.Body
	}
	err = s.Core.Propose(ctx, proposal)
	return httpwire.JSON(http.StatusOK, struct{}{}), err
}

// parseRevision parses the value of If-Match, quoted or not. An empty value gives 0.
func parseRevision(value string) (int64, error) {
	value = strings.Trim(value, `"`)
	if value == "" {
		return 0, nil
	}
	return strconv.ParseInt(value, 10, 64)
}

func (s *Server) getConfiguration(ctx context.Context) (*httpwire.Response, error) {
	raw, err := s.Core.Configuration(ctx)
	if err == nil && raw == nil {
		return httpwire.Problem(http.StatusNotFound, "there is no configuration yet"), nil
	}
	return &httpwire.Response{Status: http.StatusOK, Header: []string{"Content-Type", "application/json"}, Body: raw}, err
}

// RetireStatus is the progress of the retirement of a store.
type RetireStatus struct {
	State string `json:"oper-state"` // placement.RetireActive or RetireComplete
}

func (s *Server) retire(ctx context.Context, r *httpwire.Request, store string) (*httpwire.Response, error) {
	switch r.Method {
	case http.MethodPost:
		var body struct {
			Deadline float64 `json:"deadline-s"`
		}
		if len(r.Body) > 0 && (json.Unmarshal(r.Body, &body) != nil || body.Deadline < 0) {
			return httpwire.Problem(http.StatusBadRequest, "invalid request body"), nil
		}
		err := s.Core.Propose(ctx, controlplane.Proposal{Retire: store})
		return httpwire.JSON(http.StatusOK, RetireStatus{placement.RetireActive}), err
	case http.MethodGet:
		state, err := s.Core.RetireState(ctx, store)
		return httpwire.JSON(http.StatusOK, RetireStatus{state}), err
	}
	return httpwire.Problem(http.StatusMethodNotAllowed, "retire supports GET and POST"), nil
}
