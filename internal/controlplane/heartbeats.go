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

// heartbeatResponse is the response to a heartbeat of a handler instance.
type heartbeatResponse struct {
	// Target is the control-plane address for further heartbeats. While an instance
	// stays with one core, only that core forwards its state to the others, and a
	// core in the instance's zone or region avoids traffic between zones or regions.
	Target string `json:"keepalive-target,omitempty"`
}

// ControlHandler returns the HTTP handler of the control-plane listener. It serves the
// handler instances itself and passes other requests to operatorHandler.
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

// handleInstance serves a heartbeat or the deregistration of an instance.
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
			s.log.Printf("core: rejected the heartbeat of %s from %s: %v", id, r.Conn.RemoteAddr(), invalid)
			return httpwire.Problem(400, invalid.Error())
		}
		err = s.registry.RecordInstance(ctx, in)
		out.Target = s.heartbeatTarget(in)
	case http.MethodDelete:
		err = s.registry.Deregister(ctx, id)
	default:
		return httpwire.Problem(405, "instances support PUT and DELETE")
	}
	if err != nil {
		s.log.Printf("core: %s of instance %s failed: %v", r.Method, id, err)
		return httpwire.Problem(503, err.Error()) // always 503, whatever status a nested call had: another core may accept it
	}
	return httpwire.JSON(200, out)
}

// candidate is a core that may receive the heartbeats of an instance.
type candidate struct{ address, zone, region string }

// heartbeatTarget returns the control-plane address of the core to which an instance
// should send further heartbeats. Other cores are candidates only if they are in the
// view and have sent a heartbeat since the instance's session with this core began:
// the instance may have come here because the other core does not respond.
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

// Proximity of a core to an instance.
const (
	otherRegion = iota
	sameRegion
	sameZone
)

// nearest returns the address of the candidate for an instance: one in its zone, else
// one in its region, else the first. Among several, rendezvous hashing on the instance
// ID selects one, so that all cores name the same.
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

// controlAddress returns the control-plane address of the core with the given internal
// address, "" if there is none. Port numbers are the same on all hosts.
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
