package node

import (
	"io"
	"log"
	"strings"
	"testing"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/settings"
)

// testConfig returns a complete Config of a store with a contact timeout of 1600 ms.
func testConfig() Config {
	return Config{
		Settings: &settings.Settings{
			NodeName: "store-1", Zone: "zone-1", Region: "region-1", IpAddress: "127.0.0.1",
			InternalPortRange: []int32{8000, 8001}, SeedPeers: []string{"127.0.0.2:1"},
			Timers: &settings.Timers{ContactMs: 1600},
		},
		Role:    "store",
		Network: httpwire.TCP(),
		Log:     log.New(io.Discard, "", 0),
	}
}

func TestNewRequiresCompleteConfig(t *testing.T) {
	for _, test := range []struct {
		name   string
		remove func(*Config)
		panics string // part of the text; "" where New returns
	}{
		{"complete", func(*Config) {}, ""},
		{"health is optional", func(c *Config) { c.Healthy = nil }, ""},
		{"no settings", func(c *Config) { c.Settings = nil }, "Settings"},
		{"no role", func(c *Config) { c.Role = "" }, "Role"},
		{"no network", func(c *Config) { c.Network = httpwire.Network{} }, "Network"},
		{"no log", func(c *Config) { c.Log = nil }, "Log"},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := testConfig()
			test.remove(&config)
			defer func() {
				text, _ := recover().(string)
				if (text == "") != (test.panics == "") || !strings.Contains(text, test.panics) {
					t.Errorf("panic %q, want one that names %q", text, test.panics)
				}
			}()
			New(config)
		})
	}
}

func TestSeedsServeAsCoresUntilCoresAreKnown(t *testing.T) {
	n := New(testConfig())
	if cores := n.Cores(); len(cores) != 1 || cores[0] != "127.0.0.2:8000" {
		t.Errorf("cores %v, want the internal address of the seed", cores)
	}
}

// Stores send heartbeats four times as often as other roles, since they are replaced
// sooner. Each call may take two intervals.
func TestHeartbeatTimingFollowsContactBoundAndRole(t *testing.T) {
	timing := timing{contactTimeout: 1600 * time.Millisecond}
	for _, test := range []struct {
		role              string
		interval, timeout time.Duration
	}{
		{"edge", 400 * time.Millisecond, 800 * time.Millisecond},
		{"store", 100 * time.Millisecond, 200 * time.Millisecond},
	} {
		if got := timing.heartbeatInterval(test.role); got != test.interval {
			t.Errorf("%s: interval %v, want %v", test.role, got, test.interval)
		}
		if got := timing.heartbeatTimeout(test.role); got != test.timeout {
			t.Errorf("%s: timeout %v, want %v", test.role, got, test.timeout)
		}
	}
}
