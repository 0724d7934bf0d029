package placement

import (
	"slices"
	"testing"
)

// testTopology has two zones in one region and one zone in another; y2 is being retired.
func testTopology() *topology {
	return newTopology(map[string]Store{
		"x1": {Zone: "x", Region: "north"},
		"x2": {Zone: "x", Region: "north"},
		"x3": {Zone: "x", Region: "north"},
		"y1": {Zone: "y", Region: "north"},
		"y2": {Zone: "y", Region: "north", RetireState: RetireActive},
		"z1": {Zone: "z", Region: "south"},
		"z2": {Zone: "z", Region: "south"},
	})
}

func TestActiveStoresAreOrderedByZoneAndName(t *testing.T) {
	if got, want := testTopology().active, []string{"x1", "x2", "x3", "y1", "z1", "z2"}; !slices.Equal(got, want) {
		t.Errorf("%v, not %v", got, want)
	}
}

func TestDistance(t *testing.T) {
	for _, c := range []struct {
		a, b     string
		distance int
	}{
		{"x1", "x1", sameZone}, {"x1", "x2", sameZone}, {"x1", "y1", sameRegion}, {"y2", "x1", sameRegion}, {"z1", "y1", otherRegion},
	} {
		if got := testTopology().distance(c.a, c.b); got != c.distance {
			t.Errorf("%s to %s: %d, not %d", c.a, c.b, got, c.distance)
		}
	}
}

func TestDistanceProfileIsIndependentOfNamesAndOrder(t *testing.T) {
	for _, c := range []struct {
		primary string
		backups []string
		profile []int // distances, zones, regions
	}{
		{"x1", nil, []int{1, 1}},
		{"x1", []string{"x2", "x3"}, []int{sameZone, sameZone, 1, 1}},
		{"x1", []string{"z1", "y1"}, []int{sameRegion, otherRegion, 3, 2}},
		{"x2", []string{"y1", "z2"}, []int{sameRegion, otherRegion, 3, 2}},
		{"x1", []string{"z1", "z2"}, []int{otherRegion, otherRegion, 2, 2}},
	} {
		if got := testTopology().distanceProfile(c.primary, c.backups); !slices.Equal(got, c.profile) {
			t.Errorf("%s with %v: %v, not %v", c.primary, c.backups, got, c.profile)
		}
	}
}

func TestStoresByDistanceRotateEqualDistances(t *testing.T) {
	for _, c := range []struct {
		primary string
		round   int
		order   []string
	}{
		{"x1", 0, []string{"x1", "x2", "x3", "y1", "z1", "z2"}},
		{"x1", 1, []string{"x1", "x3", "x2", "y1", "z2", "z1"}},
		{"z1", 0, []string{"z1", "z2", "x1", "x2", "x3", "y1"}},
		{"z1", 1, []string{"z1", "z2", "x2", "x3", "y1", "x1"}},
		{"unknown", 0, []string{"x1", "x2", "x3", "y1", "z1", "z2"}},
	} {
		if got := slices.Collect(testTopology().storesByDistance(c.primary, c.round)); !slices.Equal(got, c.order) {
			t.Errorf("%s in round %d: %v, not %v", c.primary, c.round, got, c.order)
		}
	}
	if got := slices.Collect(newTopology(nil).storesByDistance("x1", 0)); len(got) != 0 {
		t.Errorf("without stores: %v", got)
	}
}

func TestFailureDomainsPermit(t *testing.T) {
	domains := failureDomains{zones: []string{"x"}, regions: []string{"north"}}
	for _, c := range []struct {
		name       string
		store      Store
		remaining  int
		redundancy Redundancy
		permitted  bool
	}{
		{"no redundancy required", Store{Zone: "x", Region: "north"}, 1, Redundancy{}, true},
		{"zone needed, same zone", Store{Zone: "x", Region: "north"}, 1, Redundancy{Zones: 1}, false},
		{"zone needed, new zone", Store{Zone: "y", Region: "north"}, 1, Redundancy{Zones: 1}, true},
		{"zone needed later", Store{Zone: "x", Region: "north"}, 2, Redundancy{Zones: 1}, true},
		{"two zones needed for two", Store{Zone: "x", Region: "north"}, 2, Redundancy{Zones: 2}, false},
		{"region needed, same region", Store{Zone: "y", Region: "north"}, 1, Redundancy{Regions: 1}, false},
		{"region needed, new region", Store{Zone: "z", Region: "south"}, 1, Redundancy{Regions: 1}, true},
		{"both needed", Store{Zone: "z", Region: "south"}, 1, Redundancy{Zones: 1, Regions: 1}, true},
	} {
		if got := domains.permits(c.store, c.remaining, c.redundancy); got != c.permitted {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
