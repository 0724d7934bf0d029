package settings

import (
	"errors"
	"fmt"
	"net"
)

func (s *Settings) check() error {
	if err := s.checkIdentity(); err != nil {
		return err
	}
	if err := s.checkNetwork(); err != nil {
		return err
	}
	return s.checkTimers()
}

func (s *Settings) checkIdentity() error {
	for _, field := range []struct{ name, value string }{
		{"node-name", s.NodeName},
		{"ip-address", s.IpAddress},
		{"zone", s.Zone},
		{"region", s.Region},
	} {
		if field.value == "" {
			return fmt.Errorf("settings: %s is missing", field.name)
		}
	}
	return nil
}

func (s *Settings) checkNetwork() error {
	if net.ParseIP(s.IpAddress) == nil {
		return fmt.Errorf("settings: ip-address=%s is not an IP address", s.IpAddress)
	}
	ports := s.InternalPortRange
	if len(ports) != 2 || ports[0] < 1 || ports[1] > 65535 || ports[0] > ports[1] {
		return fmt.Errorf("settings: internal-port-range=%v must be two ports in ascending order", ports)
	}
	if len(s.SeedPeers) == 0 {
		return errors.New("settings: seed-peers is missing")
	}
	for _, peer := range s.SeedPeers {
		if _, _, err := net.SplitHostPort(peer); err != nil {
			return fmt.Errorf("settings: seed-peers=%s is not host:port", peer)
		}
	}
	return nil
}

func (s *Settings) checkTimers() error {
	return checkPositive([]timer{
		{"contact-ms", s.Timers.ContactMs},
		{"grace-s", s.Timers.GraceS},
		{"config-apply-ms", s.Timers.ConfigApplyMs},
		{"drain-ms", s.Timers.DrainMs},
	})
}

// timer is a field of the timers group.
type timer struct {
	name  string
	value float64
}

func checkPositive(timers []timer) error {
	for _, t := range timers {
		if t.value <= 0 {
			return fmt.Errorf("settings: timers.%s=%v must be positive", t.name, t.value)
		}
	}
	return nil
}

// requirement lists the fields and timers that a role needs in addition to those
// that every role needs.
type requirement struct {
	fields []field
	timers []timer
}

type field struct{ name, value string }

// requirements returns the requirement of each role.
func (s *Settings) requirements() map[string]requirement {
	clientListeners := []field{
		{"listeners.data-plane", s.Listeners.DataPlane},
		{"listeners.readiness", s.Listeners.Readiness},
	}
	controlPlane := field{"listeners.control-plane", s.Listeners.ControlPlane}
	dataPath := field{"data-path", s.DataPath}
	statusRetention := timer{"status-ttl-s", s.Timers.StatusTtlS}
	return map[string]requirement{
		"edge":  {clientListeners, []timer{statusRetention}},
		"store": {[]field{dataPath}, []timer{statusRetention}},
		"gateway": {clientListeners, []timer{
			{"ping-interval-s", s.Timers.PingIntervalS},
			{"presence-ms", s.Timers.PresenceMs},
		}},
		"broker": {[]field{dataPath}, []timer{{"retransmit-s", s.Timers.RetransmitS}}},
		"core":   {[]field{controlPlane, dataPath}, nil},
	}
}

// Require returns an error that names the first field that a role requires and
// the settings lack. The role is edge, store, gateway, broker or core.
func (s *Settings) Require(role string) error {
	needs := s.requirements()[role]
	for _, needed := range needs.fields {
		if needed.value == "" {
			return fmt.Errorf("settings: %s is missing, but required by the role %s", needed.name, role)
		}
	}
	if err := checkPositive(needs.timers); err != nil {
		return fmt.Errorf("%w for the role %s", err, role)
	}
	return nil
}
