package controlplane

import (
	"context"

	"saltreel/internal/configstore"
)

// Types of the operator interface, for package operator.
type (
	// Proposal is a change of the configuration, or a request to retire a store.
	Proposal = configstore.Proposal
	// RejectedError reports that the state does not allow a change.
	RejectedError = configstore.RejectedError
	// UnavailableError reports that a call certainly had no effect.
	UnavailableError = configstore.UnavailableError
	// State is the state held by the tail of the chain.
	State = configstore.State
)

// Propose submits a change to the head of the chain. If the error is neither a
// *RejectedError nor an *UnavailableError, the change may or may not take effect.
func (s *Server) Propose(ctx context.Context, p Proposal) error { return s.store.Propose(ctx, p) }

// Read returns the state from the tail of the chain.
func (s *Server) Read(ctx context.Context) (State, error) { return s.store.Read(ctx) }

// Configuration returns the configuration in force byte for byte as it was sent, or
// nil if there is none yet.
func (s *Server) Configuration(ctx context.Context) ([]byte, error) {
	return s.store.Configuration(ctx)
}

// StateBytes returns the size in bytes of the configuration and the placement that this
// core knows.
func (s *Server) StateBytes() int { return s.publication.documentBytes() }

// RetireState returns the progress of the retirement of a store. The error is a
// *RejectedError if the store is unknown or not being retired.
func (s *Server) RetireState(ctx context.Context, name string) (string, error) {
	return s.store.RetireState(ctx, name)
}

// InContact reports whether this core is in contact with its chain.
func (s *Server) InContact() bool { return s.chain.InContact() }

// RedirectAddress returns the control-plane address of the core that serves changes or
// reads according to the view known here. It returns "" if that is this core, if no
// view is known, or if that core's host has recently refused a connection.
func (s *Server) RedirectAddress(write bool) string {
	target := s.store.RedirectTarget(write)
	if target == "" {
		return ""
	}
	return s.controlAddress(target)
}
