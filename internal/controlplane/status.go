package controlplane

import (
	"context"
	"sort"
	"strings"

	"saltreel/internal/chain"
	"saltreel/internal/configstore"
	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/handler"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
	"saltreel/internal/placement"
	"saltreel/internal/rpc"
)

// Overview is what the operator's status command shows.
type Overview struct {
	Revision  int64              `json:"revision"`
	View      chain.View         `json:"view"`
	Placement placement.Readable `json:"placement"`
	Nodes     []membership.Node  `json:"nodes"`
	Handlers  []handler.Instance `json:"handlers"`
}

// Status tells the state of the system as this core and the tail know it. A core
// that is not in touch answers 503: what it knows of handlers may be old.
func (c *Server) Status(ctx context.Context) (Overview, error) {
	o := Overview{View: c.chain.View()}
	if !c.registry.InContactWithQuorum() {
		return o, &rpc.StatusError{Code: 503, Text: "this core is not in touch with the others"}
	}
	s, err := c.Read(ctx)
	if err != nil {
		return o, err
	}
	if raw := s.Documents[configstore.KeyConfiguration]; raw != nil {
		if conf, err := configuration.Parse(raw); err == nil {
			o.Revision = conf.Revision
		}
	}
	current, err := c.store.PlacementOf(s.Documents)
	if err != nil {
		return o, err
	}
	o.Placement = placement.Readable(current)
	page, _ := c.journal.Since("", 0, nil, nil)
	for _, e := range page.Events {
		switch {
		case e.IsDeleted():
		case strings.HasPrefix(e.Key, distribution.PrefixNode):
			o.Nodes = append(o.Nodes, journal.Decode[membership.Node](e))
		case strings.HasPrefix(e.Key, distribution.PrefixInstance):
			o.Handlers = append(o.Handlers, journal.Decode[handler.Instance](e))
		}
	}
	sort.Slice(o.Nodes, func(i, j int) bool { return o.Nodes[i].Name < o.Nodes[j].Name })
	sort.Slice(o.Handlers, func(i, j int) bool { return o.Handlers[i].ID < o.Handlers[j].ID })
	return o, nil
}
