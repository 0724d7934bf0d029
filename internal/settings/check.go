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
		return fmt.Errorf("settings: ip-address=%s is not an address", s.IpAddress)
	}
	ports := s.InternalPortRange
	if len(ports) != 2 || ports[0] < 1 || ports[1] > 65535 || ports[0] > ports[1] {
		return fmt.Errorf("settings: internal-port-range=%v is not two ports in rising order", ports)
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
	for _, timer := range []struct {
		name  string
		value float64
	}{
		{"contact-ms", s.Timers.ContactMs},
		{"grace-s", s.Timers.GraceS},
		{"status-ttl-s", s.Timers.StatusTtlS},
		{"config-apply-ms", s.Timers.ConfigApplyMs},
		{"drain-ms", s.Timers.DrainMs},
	} {
		if timer.value <= 0 {
			return fmt.Errorf("settings: timers.%s=%v must be over 0", timer.name, timer.value)
		}
	}
	return nil
}

// Require returns an error that names the first field which a role needs and
// the settings lack. The role is edge, store or core.
func (s *Settings) Require(role string) error {
	type field struct{ name, value string }
	dataPlane := field{"listeners.data-plane", s.Listeners.DataPlane}
	readiness := field{"listeners.readiness", s.Listeners.Readiness}
	controlPlane := field{"listeners.control-plane", s.Listeners.ControlPlane}
	dataPath := field{"data-path", s.DataPath}
	needs := map[string][]field{
		"edge":  {dataPlane, readiness},
		"store": {dataPath},
		"core":  {controlPlane, dataPath},
	}
	for _, needed := range needs[role] {
		if needed.value == "" {
			return fmt.Errorf("settings: %s is missing, and the role %s needs it", needed.name, role)
		}
	}
	return nil
}
