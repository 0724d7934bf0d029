package settings

import (
	"strings"
	"testing"
)

const valid = `node-name=n
ip-address=10.0.0.1
zone=z
region=r
zones.z=r
internal-port-range=7100,7115
seed-peers=10.0.0.1:82,10.0.0.2:82
timers.contact-ms=4000
timers.grace-s=6
timers.status-ttl-s=120
timers.config-apply-ms=3000
timers.drain-ms=3000
`

func TestSettingsAreReadAndChecked(t *testing.T) {
	s, err := Parse(valid + "\n# a remark\nnew.field=1\nlimits.cpu-share=0.4\nbootstrap=true\ntimers.sync-time-s=4.3\n")
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits.CpuShare != 0.4 || !s.Bootstrap || s.Timers.SyncTimeS != 4.3 || s.Zones["z"] != "r" || s.InternalAddress() != "10.0.0.1:7100" || s.CoreAddresses()[1] != "10.0.0.2:7100" {
		t.Errorf("unexpected settings: %v", s)
	}
	if err := s.Require("store"); err == nil || !strings.Contains(err.Error(), "data-path") {
		t.Errorf("store without data-path: %v", err)
	}
	for _, c := range []struct{ old, new, names string }{
		{"node-name=n\n", "", "node-name"},
		{"10.0.0.1\n", "10.0.0\n", "ip-address=10.0.0"},
		{"7100,7115", "7115,7100", "internal-port-range"},
		{"7100,7115", "7100,x", "internal-port-range"},
		{"contact-ms=4000", "contact-ms=soon", "contact-ms=soon"},
		{"contact-ms=4000", "contact-ms=0", "contact-ms"},
		{"seed-peers=10.0.0.1:82,10.0.0.2:82", "seed-peers=10.0.0.1", "seed-peers=10.0.0.1"},
		{"zone=z\n", "zone\n", "'='"},
	} {
		if _, err := Parse(strings.Replace(valid, c.old, c.new, 1)); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%q in place of %q: error %v does not contain %q", c.new, c.old, err, c.names)
		}
	}
}

// Each role requires its own fields, and no others.
func TestRolesRequireWhatTheyNeed(t *testing.T) {
	common := strings.Replace(valid, "timers.status-ttl-s=120\n", "", 1)
	clients := "listeners.data-plane=10.0.0.1:1\nlisteners.readiness=10.0.0.1:2\n"
	for _, c := range []struct{ role, fields string }{
		{"edge", clients + "timers.status-ttl-s=120\n"},
		{"store", "data-path=/data\ntimers.status-ttl-s=120\n"},
		{"gateway", clients + "timers.ping-interval-s=2\ntimers.presence-ms=5000\n"},
		{"broker", "data-path=/data\ntimers.retransmit-s=10\n"},
		{"core", "listeners.control-plane=10.0.0.1:3\ndata-path=/data\n"},
	} {
		needed := strings.SplitAfter(strings.TrimSuffix(c.fields, "\n"), "\n")
		for missing := range needed {
			text := common
			for i, line := range needed {
				if i != missing {
					text += line
				}
			}
			name, _, _ := strings.Cut(needed[missing], "=")
			s, err := Parse(text)
			if err != nil {
				t.Fatalf("%s without %s: %v", c.role, name, err)
			}
			if err := s.Require(c.role); err == nil || !strings.Contains(err.Error(), name) || !strings.Contains(err.Error(), c.role) {
				t.Errorf("%s without %s: %v", c.role, name, err)
			}
		}
		if s, err := Parse(common + c.fields); err != nil || s.Require(c.role) != nil {
			t.Errorf("%s with all required fields: %v, %v", c.role, err, s.Require(c.role))
		}
	}
}
