package settings

import (
	"net"
	"slices"
	"strconv"
	"time"
)

// ContactTimeout returns contact-ms, the time within which the system detects and
// replaces a failed node. Most timeouts and intervals between processes are derived
// from it as fixed ratios.
func (s *Settings) ContactTimeout() time.Duration { return Milliseconds(s.Timers.ContactMs) }

// ProcessorShare returns the processing time available to the process, in processor
// cores: cpu-share for each of core-count cores, which is at least 1.
func (s *Settings) ProcessorShare() float64 {
	return s.Limits.CpuShare * max(1, s.Limits.CoreCount)
}

// HasTenants reports whether clients belong to tenants and authenticate by an API key.
func (s *Settings) HasTenants() bool { return slices.Contains(s.PolicySections, "tenants") }

// InternalAddress returns the address, host:port, at which other processes of the
// system reach this one.
func (s *Settings) InternalAddress() string { return s.InternalAddressAt(s.IpAddress) }

// InternalAddressAt returns the internal address of the process on the host with the given
// IP address. All hosts use the same port range.
func (s *Settings) InternalAddressAt(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(int(s.InternalPortRange[0])))
}

// CoreAddresses returns the internal addresses of the seed peers.
func (s *Settings) CoreAddresses() []string {
	var addresses []string
	for _, peer := range s.SeedPeers {
		host, _, _ := net.SplitHostPort(peer) // checked by Parse
		addresses = append(addresses, s.InternalAddressAt(host))
	}
	return addresses
}

// Milliseconds converts milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts seconds to a duration.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
