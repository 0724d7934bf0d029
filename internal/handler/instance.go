// Package handler implements the interface to handlers, the application processes
// that execute messages: the heartbeats by which they register, and the delivery of
// messages to them.
package handler

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// States that a handler reports in its heartbeats.
const (
	Ready    = "ready"
	Draining = "draining" // it accepts no more messages
)

// Instance is one incarnation of a handler, as its heartbeats describe it.
type Instance struct {
	ID       string `json:"instance-id,omitempty"`
	Service  string `json:"service"`
	Address  string `json:"address"` // host:port
	Zone     string `json:"zone"`
	Revision string `json:"revision"`       // of the application
	Slots    int    `json:"slots"`          // how many messages it executes concurrently
	State    string `json:"oper-state"`     // Ready or Draining
	WarmupMs int64  `json:"warmup-left-ms"` // remaining warm-up time in milliseconds
	CallSeq  int64  `json:"call-seq"`       // sequence number of the heartbeat; the highest one is current
}

// ParseHeartbeat decodes and validates the heartbeat of an instance. Its errors are
// returned to the handler.
func ParseHeartbeat(id string, body []byte) (Instance, error) {
	var in Instance
	if err := json.Unmarshal(body, &in); err != nil {
		return in, fmt.Errorf("the heartbeat cannot be read: %w", err)
	}
	in.ID = id
	return in, in.check()
}

func (in *Instance) check() error {
	switch {
	case in.ID == "":
		return errors.New("the heartbeat names no instance")
	case in.Service == "":
		return errors.New("the heartbeat names no service")
	case in.State != Ready && in.State != Draining:
		return fmt.Errorf("oper-state %q is neither ready nor draining", in.State)
	case in.Slots < 0:
		return fmt.Errorf("slots %d is below 0", in.Slots)
	}
	if _, _, err := net.SplitHostPort(in.Address); err != nil {
		return fmt.Errorf("address %q is not host:port", in.Address)
	}
	return nil
}
