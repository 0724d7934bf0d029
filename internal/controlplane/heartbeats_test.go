package controlplane

import (
	"fmt"
	"testing"

	"saltreel/internal/settings"
)

func TestHeartbeatTargetIsTheNearestCore(t *testing.T) {
	self := candidate{"self", "zone-1", "region-1"}
	sameRegionCore := candidate{"same-region", "zone-2", "region-1"}
	otherRegionCore := candidate{"other-region", "zone-3", "region-2"}
	unknownRegion := candidate{"unknown", "zone-4", ""}
	for name, c := range map[string]struct {
		zone, region string
		candidates   []candidate
		want         string
	}{
		"only this core":                {"zone-9", "region-9", []candidate{self}, "self"},
		"none in the zone or region":    {"zone-9", "region-9", []candidate{self, otherRegionCore}, "self"},
		"one in the region":             {"zone-9", "region-2", []candidate{self, otherRegionCore}, "other-region"},
		"one in the zone":               {"zone-2", "region-1", []candidate{self, sameRegionCore, otherRegionCore}, "same-region"},
		"this one in the zone":          {"zone-1", "region-1", []candidate{self, sameRegionCore, otherRegionCore}, "self"},
		"unknown regions are not equal": {"zone-9", "", []candidate{self, unknownRegion}, "self"},
		"a zone without a known region": {"zone-4", "", []candidate{self, unknownRegion}, "unknown"},
	} {
		if got := nearest("instance", c.zone, c.region, c.candidates); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
}

func TestHeartbeatTargetIsTheSameAtAllCores(t *testing.T) {
	a, b, c := candidate{"a", "zone-1", "region-1"}, candidate{"b", "zone-1", "region-1"}, candidate{"c", "zone-1", "region-1"}
	used := map[string]bool{}
	for i := range 100 {
		instance := fmt.Sprint("instance-", i)
		first := nearest(instance, "zone-1", "region-1", []candidate{a, b, c})
		used[first] = true
		for _, order := range [][]candidate{{b, a, c}, {c, b, a}, {b, c, a}} {
			if got := nearest(instance, "zone-1", "region-1", order); got != first {
				t.Errorf("%s: cores name both %s and %s", instance, first, got)
			}
		}
	}
	if len(used) != 3 {
		t.Errorf("%d of 3 cores are named", len(used))
	}
}

func TestControlAddressHasTheControlPlanePort(t *testing.T) {
	s := &Server{settings: &settings.Settings{Listeners: &settings.Listeners{ControlPlane: "0.0.0.0:7200"}}}
	for internal, want := range map[string]string{"10.0.0.1:7100": "10.0.0.1:7200", "no port": ""} {
		if got := s.controlAddress(internal); got != want {
			t.Errorf("%q: got %q, want %q", internal, got, want)
		}
	}
}
