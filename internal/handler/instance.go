// Package handler owns what is said to and heard from the handlers that run
// messages: the beats by which they make themselves known, and deliveries.
package handler

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// States that a handler tells of itself.
const (
	Ready    = "ready"
	Draining = "draining"
)

// Instance is one life of a handler, as its beats describe it.
type Instance struct {
	ID       string `json:"instance-id,omitempty"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Revision string `json:"revision"`
	Slots    int    `json:"slots"`
	State    string `json:"oper-state"`
	WarmupMs int64  `json:"warmup-left-ms"`
	CallSeq  int64  `json:"call-seq"`
}

// ParseBeat reads and checks a beat.
func ParseHeartbeat(id string, body []byte) (Instance, error) {
	var in Instance
	if err := json.Unmarshal(body, &in); err != nil {
		return in, fmt.Errorf("the beat cannot be read: %w", err)
	}
	in.ID = id
	switch {
	case id == "":
		return in, errors.New("the beat names no instance")
	case in.Service == "":
		return in, errors.New("the beat names no service")
	case in.State != Ready && in.State != Draining:
		return in, fmt.Errorf("oper-state %q is neither ready nor draining", in.State)
	case in.Slots < 0:
		return in, fmt.Errorf("slots %d is below 0", in.Slots)
	}
	if _, _, err := net.SplitHostPort(in.Address); err != nil {
		return in, fmt.Errorf("address %q is not host:port", in.Address)
	}
	return in, nil
}
