package controlplane

import (
	"context"

	"saltreel/internal/configstore"
)

// The calls of the operator, as package operator needs them at a core.
type (
	// Proposal is a change of the configuration or an order to empty a store.
	Proposal = configstore.Proposal
	// RejectedError says that the state does not allow a change.
	RejectedError = configstore.RejectedError
	// UnavailableError is the error of a call that certainly did nothing.
	UnavailableError = configstore.UnavailableError
	// State is the state that the tail of the chain holds.
	State = configstore.State
)

// Propose brings a change to the head of the chain, wherever it is. The error is
// a *RejectedError, an *UnavailableError, or something else: then the change may
// take effect or not.
func (s *Server) Propose(ctx context.Context, p Proposal) error { return s.store.Propose(ctx, p) }

// Read gets the state from the tail of the chain.
func (s *Server) Read(ctx context.Context) (State, error) { return s.store.Read(ctx) }

// Configuration reads the configuration in force, byte for byte as it was sent;
// nil before the first.
func (s *Server) Configuration(ctx context.Context) ([]byte, error) {
	return s.store.Configuration(ctx)
}

// RetireState reads how far the emptying of a store is. The error is a
// *RejectedError if the store is not known, or not being emptied.
func (s *Server) RetireState(ctx context.Context, name string) (string, error) {
	return s.store.RetireState(ctx, name)
}

// InContact says whether this core is in contact with its chain.
func (s *Server) InContact() bool { return s.chain.InContact() }

// RedirectAddress is the control-plane address of the core that answers changes, or
// reads, in the view known here. It is "" if that is this core, if none is known,
// or if its machine refused a connection a moment ago.
func (s *Server) RedirectAddress(write bool) string {
	target := s.store.RedirectTarget(write)
	if target == "" {
		return ""
	}
	return s.controlAddress(target)
}
