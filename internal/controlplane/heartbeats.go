package controlplane

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"

	"saltreel/internal/chain"
	"saltreel/internal/handler"
	"saltreel/internal/httpwire"
	"saltreel/internal/ring"
)

// heartbeatResponse answers a heartbeat of a handler instance.
type heartbeatResponse struct {
	// Target is the control-plane address for later heartbeats. An instance that
	// stays with one core is sent on to the others by that one only, and one that
	// stays in its zone or region costs nothing between them.
	Target string `json:"keepalive-target,omitempty"`
}

// ControlHandler answers the handlers; what is the operator's goes to operate.
func (s *Server) ControlHandler(operatorHandler httpwire.Handler) httpwire.Handler {
	return func(ctx context.Context, r *httpwire.Request) *httpwire.Response {
		if !s.opened.Load() {
			return httpwire.Problem(503, "the state on disk is not open")
		}
		if id, ok := strings.CutPrefix(r.URL.Path, "/v1/instances/"); ok {
			return s.handleInstance(ctx, r, id)
		}
		return operatorHandler(ctx, r)
	}
}

// handleInstance answers a heartbeat or the deregistration of an instance.
func (s *Server) handleInstance(ctx context.Context, r *httpwire.Request, id string) *httpwire.Response {
	if !s.registry.InContactWithQuorum() {
		return httpwire.Problem(503, ErrOutOfContact.Error())
	}
	var err error
	var out heartbeatResponse
	switch r.Method {
	case http.MethodPut:
		in, invalid := handler.ParseHeartbeat(id, r.Body)
		if invalid != nil {
			s.log.Printf("core: heartbeat of %s from %s is refused: %v", id, r.Conn.RemoteAddr(), invalid)
			return httpwire.Problem(400, invalid.Error())
		}
		err = s.registry.RecordInstance(ctx, in)
		out.Target = s.heartbeatTarget(in)
	case http.MethodDelete:
		err = s.registry.Deregister(ctx, id)
	default:
		return httpwire.Problem(405, "instances take PUT and DELETE")
	}
	if err != nil {
		s.log.Printf("core: heartbeat of %s: %v", id, err)
		return httpwire.Problem(503, err.Error()) // whatever status an inner call had: another core may accept it
	}
	return httpwire.JSON(200, out)
}

// candidate is a core that may receive an instance's heartbeats.
type candidate struct{ address, zone, region string }

// heartbeatTarget is the control-plane address of the core that an instance's
// later heartbeats go to. Other cores count only while they are in the view and
// have sent a heartbeat since the instance came here: it may have come because the
// other core does not answer.
func (s *Server) heartbeatTarget(in handler.Instance) string {
	view := s.chain.View()
	sessionStart := s.registry.SessionStart(in.ID)
	candidates := []candidate{{s.address, s.settings.Zone, s.settings.Region}}
	for _, n := range s.registry.CachedCores() {
		inView := slices.ContainsFunc(view.Members, func(m chain.Member) bool { return m.Address == n.Address })
		if inView && n.Age < s.timing.heartbeatTargetRecency() && n.LastSeen.After(sessionStart) {
			candidates = append(candidates, candidate{n.Address, n.Zone, n.Region})
		}
	}
	return s.controlAddress(nearest(in.ID, in.Zone, s.settings.Zones[in.Zone], candidates))
}

// How near a core is to an instance.
const (
	otherRegion = iota
	sameRegion
	sameZone
)

// nearest is the address of the candidate for an instance: one of its zone, else
// of its region, else the first. Which of several, the instance's identity
// decides, so that all cores name the same one.
func nearest(instance, zone, region string, candidates []candidate) string {
	best, bestProximity := candidates[0].address, otherRegion
	for _, c := range candidates {
		proximity := otherRegion
		switch {
		case c.zone == zone:
			proximity = sameZone
		case c.region == region && region != "":
			proximity = sameRegion
		}
		if proximity > bestProximity || proximity == bestProximity && proximity != otherRegion && ring.Hash(instance+c.address) > ring.Hash(instance+best) {
			best = c.address
			bestProximity = proximity
		}
	}
	return best
}

// controlAddress is the control-plane address of the core at an internal address:
// ports are alike on all machines. It is "" if there is none.
func (s *Server) controlAddress(internal string) string {
	host, _, err := net.SplitHostPort(internal)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(s.settings.Listeners.ControlPlane)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}
