package controlplane

import (
	"context"
	"errors"
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
)

// Overview is the output of the operator's status command.
type Overview struct {
	Revision  int64              `json:"revision"`
	View      chain.View         `json:"view"`
	Placement placement.Readable `json:"placement"`
	Nodes     []membership.Node  `json:"nodes"`
	Handlers  []handler.Instance `json:"handlers"`
}

// ErrOutOfContact reports that this core has lost contact with a majority of the
// cores, so that its instances and nodes may be outdated.
var ErrOutOfContact = errors.New("this core is not in contact with the others")

// Status returns the state of the system as known to this core and to the tail of the
// chain. The error is ErrOutOfContact or one from Read.
func (s *Server) Status(ctx context.Context) (Overview, error) {
	overview := Overview{View: s.chain.View()}
	if !s.registry.InContactWithQuorum() {
		return overview, ErrOutOfContact
	}
	state, err := s.store.Read(ctx)
	if err != nil {
		return overview, err
	}
	if raw := state.Documents[configstore.KeyConfiguration]; raw != nil {
		if conf, err := configuration.Parse(raw); err == nil {
			overview.Revision = conf.Revision
		}
	}
	current, err := s.store.PlacementOf(state.Documents)
	if err != nil {
		return overview, err
	}
	overview.Placement = placement.Readable(current)
	page, _ := s.journal.EventsSince("", 0, nil, nil)
	overview.addEvents(page.Events)
	return overview, nil
}

// addEvents adds the nodes and handlers in the newest events of a journal.
func (o *Overview) addEvents(events []journal.Event) {
	for _, e := range events {
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
}
