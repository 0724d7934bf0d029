package controlplane

import (
	"context"
	"net"
	"net/http"
	"slices"

	"saltreel/internal/chain"
	"saltreel/internal/handler"
	"saltreel/internal/httpwire"
	"saltreel/internal/ring"
)

// beaten answers a beat.
type beaten struct {
	// Target is the control-plane address for the handler's later beats. A
	// handler that stays with one core is told of by that one only, and one that
	// stays in its zone or region costs nothing between them.
	Target string `json:"keepalive-target,omitempty"`
}

func (c *Server) handleBeat(ctx context.Context, r *httpwire.Request, id string) *httpwire.Response {
	if !c.registry.InContactWithQuorum() {
		return httpwire.Problem(503, "this core is not in touch with the others")
	}
	var err error
	var out beaten
	switch r.Method {
	case http.MethodPut:
		in, bad := handler.ParseHeartbeat(id, r.Body)
		if bad != nil {
			c.log.Printf("core: beat of %s from %s is refused: %v", id, r.Conn.RemoteAddr(), bad)
			return httpwire.Problem(400, bad.Error())
		}
		err = c.registry.RecordInstance(ctx, in)
		out.Target = c.nearest(in)
	case http.MethodDelete:
		err = c.registry.Deregister(ctx, id)
	default:
		return httpwire.Problem(405, "instances take PUT and DELETE")
	}
	if err != nil {
		c.log.Printf("core: beat of %s: %v", id, err)
		return httpwire.Problem(503, err.Error()) // whatever an inner call was told: another core may take it
	}
	return httpwire.JSON(200, out)
}

// nearest is the control-plane address of the core that a handler's later beats
// go to: one of its zone, else of its region, else this one. The others count
// only while they are in the view and beat themselves; which of several, the
// handler's id says, so that all cores name the same one.
func (c *Server) nearest(in handler.Instance) string {
	view, region := c.chain.View(), c.set.Zones[in.Zone]
	type place struct{ rank, address string }
	best := place{"", c.self}
	consider := func(address, zone, of string) {
		rank := ""
		switch {
		case zone == in.Zone:
			rank = "zone"
		case of == region && region != "":
			rank = "region"
		default:
			return
		}
		if best.rank == "" || rank > best.rank || rank == best.rank && ring.Hash(in.ID+address) > ring.Hash(in.ID+best.address) {
			best = place{rank, address}
		}
	}
	consider(c.self, c.set.Zone, c.set.Region)
	for _, n := range c.registry.RecentCores() {
		if n.Age < c.contact*3/8 && slices.ContainsFunc(view.Members, func(m chain.Member) bool { return m.Address == n.Address }) {
			consider(n.Address, n.Zone, n.Region)
		}
	}
	return c.controlOf(best.address)
}

// controlOf is the control-plane address of the core at an internal address:
// ports are alike on all machines. It is "" if there is none.
func (c *Server) controlOf(internal string) string {
	host, _, err := net.SplitHostPort(internal)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(c.set.Listeners.ControlPlane)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}
