package controlplane

import (
	"fmt"
	"testing"

	"saltreel/internal/settings"
)

func TestHeartbeatsGoToTheNearestCore(t *testing.T) {
	self := candidate{"self", "zone-1", "region-1"}
	neighbour := candidate{"neighbour", "zone-2", "region-1"}
	far := candidate{"far", "zone-3", "region-2"}
	unknownRegion := candidate{"unknown", "zone-4", ""}
	for name, c := range map[string]struct {
		zone, region string
		candidates   []candidate
		want         string
	}{
		"only this core":                {"zone-9", "region-9", []candidate{self}, "self"},
		"none in zone or region":        {"zone-9", "region-9", []candidate{self, far}, "self"},
		"one in the region":             {"zone-9", "region-2", []candidate{self, far}, "far"},
		"one in the zone":               {"zone-2", "region-1", []candidate{self, neighbour, far}, "neighbour"},
		"this one in the zone":          {"zone-1", "region-1", []candidate{self, neighbour, far}, "self"},
		"unknown regions are not equal": {"zone-9", "", []candidate{self, unknownRegion}, "self"},
		"a zone without a known region": {"zone-4", "", []candidate{self, unknownRegion}, "unknown"},
	} {
		if got := nearest("instance", c.zone, c.region, c.candidates); got != c.want {
			t.Errorf("%s: %s, not %s", name, got, c.want)
		}
	}
}

func TestAllCoresNameTheSameHeartbeatTarget(t *testing.T) {
	a, b, c := candidate{"a", "zone-1", "region-1"}, candidate{"b", "zone-1", "region-1"}, candidate{"c", "zone-1", "region-1"}
	used := map[string]bool{}
	for i := range 100 {
		instance := fmt.Sprint("instance-", i)
		first := nearest(instance, "zone-1", "region-1", []candidate{a, b, c})
		used[first] = true
		for _, order := range [][]candidate{{b, a, c}, {c, b, a}, {b, c, a}} {
			if got := nearest(instance, "zone-1", "region-1", order); got != first {
				t.Errorf("%s: %s and %s", instance, first, got)
			}
		}
	}
	if len(used) != 3 {
		t.Errorf("of three cores %d are named", len(used))
	}
}

func TestControlAddressHasTheControlPlanePort(t *testing.T) {
	s := &Server{settings: &settings.Settings{Listeners: &settings.Listeners{ControlPlane: "0.0.0.0:7200"}}}
	for internal, want := range map[string]string{"10.0.0.1:7100": "10.0.0.1:7200", "no port": ""} {
		if got := s.controlAddress(internal); got != want {
			t.Errorf("%q: %q, not %q", internal, got, want)
		}
	}
}
