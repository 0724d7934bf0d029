package edge

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/types/known/structpb"

	"saltreel/internal/configuration"
	"saltreel/internal/membership"
	"saltreel/internal/partition"
	"saltreel/internal/placement"
	"saltreel/internal/ring"
	"saltreel/internal/settings"
)

// testSettings returns the settings of an edge in zone-1 of region-1 that tolerates
// one host failure.
func testSettings() *settings.Settings {
	return &settings.Settings{Zone: "zone-1", Region: "region-1", FaultTolerance: &settings.FaultTolerance{HostFailures: 1}}
}

// testPlacement assigns one partition to each of the named stores, in their order.
// Store "ZONE-REGION-NAME" is in zone-ZONE of region-REGION. Partitions whose
// store is under-replicated have no backup, the others one.
func testPlacement(stores []string, underReplicated ...string) *placement.Placement {
	p := &placement.Placement{Stores: map[string]placement.Store{}}
	for _, name := range stores {
		p.Stores[name] = placement.Store{Address: name, Zone: "zone-" + name[:1], Region: "region-" + name[2:3]}
		assigned := placement.Partition{Epoch: 1, Primary: name, Backups: []placement.Backup{{Store: "backup"}}}
		if slices.Contains(underReplicated, name) {
			assigned.Backups = nil
		}
		p.Partitions = append(p.Partitions, assigned)
	}
	return p
}

// primaryNames returns the names of the primaries of partitions.
func primaryNames(p *placement.Placement, partitions []int) []string {
	var names []string
	for _, i := range partitions {
		names = append(names, p.Partitions[i].Primary)
	}
	return names
}

func TestCandidatesOrderedByDistance(t *testing.T) {
	for _, test := range []struct {
		name            string
		stores          []string
		underReplicated []string
		tiers           [][]string // the candidates, in any order within a tier
	}{
		{"no partitions", nil, nil, nil},
		{"one", []string{"9-9-a"}, nil, [][]string{{"9-9-a"}}},
		{
			"zone, region, remote",
			[]string{"9-9-a", "2-1-b", "1-1-c", "1-1-d", "9-9-e", "2-1-f"}, nil,
			[][]string{{"1-1-c", "1-1-d"}, {"2-1-b", "2-1-f"}, {"9-9-a", "9-9-e"}},
		},
		{
			"under-replicated last, however near",
			[]string{"1-1-a", "1-1-b", "2-1-c", "9-9-d"}, []string{"1-1-a", "2-1-c"},
			[][]string{{"1-1-b"}, {"9-9-d"}, {"1-1-a", "2-1-c"}},
		},
		{"all under-replicated", []string{"1-1-a", "9-9-b"}, []string{"1-1-a", "9-9-b"}, [][]string{{"1-1-a", "9-9-b"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := testPlacement(test.stores, test.underReplicated...)
			got := primaryNames(p, candidatePartitions(p, testSettings(), &configuration.Route{}, nil, &partition.Record{ID: "one"}))
			for _, tier := range test.tiers {
				if len(got) < len(tier) {
					t.Fatalf("candidates end before %v", tier)
				}
				members := slices.Sorted(slices.Values(got[:len(tier)]))
				if !slices.Equal(members, tier) {
					t.Errorf("tier %v, want %v", members, tier)
				}
				got = got[len(tier):]
			}
			if len(got) > 0 {
				t.Errorf("more candidates: %v", got)
			}
		})
	}
}

func TestCandidatesBeginAtPartitionOfMessageID(t *testing.T) {
	p := testPlacement([]string{"1-1-a", "1-1-b", "1-1-c", "1-1-d", "1-1-e"})
	for i := range 20 {
		id := fmt.Sprintf("message-%d", i)
		first := int(ring.Hash(id) % 5)
		want := []int{first, (first + 1) % 5, (first + 2) % 5, (first + 3) % 5, (first + 4) % 5}
		if got := candidatePartitions(p, testSettings(), &configuration.Route{}, nil, &partition.Record{ID: id}); !slices.Equal(got, want) {
			t.Errorf("%s: candidates %v, want %v", id, got, want)
		}
	}
}

func TestOnePartitionPacesServiceOrOrdersKey(t *testing.T) {
	p := testPlacement([]string{"1-1-a", "2-1-b", "9-9-c", "1-1-d", "9-9-e", "2-1-f", "1-1-g"})
	inOrder := &configuration.Route{InOrder: structpb.NewBoolValue(true)}
	paced := &configuration.Service{Name: "paced", RatePerS: 5}
	record := &partition.Record{ID: "one", Tenant: "tenant", OrderKey: "key"}
	for _, test := range []struct {
		name    string
		route   *configuration.Route
		service *configuration.Service
		record  *partition.Record
		want    uint64 // hash of the only candidate; 0: all are candidates
	}{
		{"paced service", &configuration.Route{}, paced, record, ring.Hash("service", "paced")},
		{"paced service before order key", inOrder, paced, record, ring.Hash("service", "paced")},
		{"order key", inOrder, nil, record, ring.Hash("order", "tenant", "key")},
		{"order key of a service without pace", inOrder, &configuration.Service{Name: "free"}, record, ring.Hash("order", "tenant", "key")},
		{"order key on a route without order", &configuration.Route{}, nil, record, 0},
		{"route in order without key", inOrder, nil, &partition.Record{ID: "one", Tenant: "tenant"}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := candidatePartitions(p, testSettings(), test.route, test.service, test.record)
			if test.want == 0 {
				if len(got) != len(p.Partitions) {
					t.Errorf("candidates %v, want all %d", got, len(p.Partitions))
				}
				return
			}
			if want := []int{int(test.want % 7)}; !slices.Equal(got, want) {
				t.Errorf("candidates %v, want %v", got, want)
			}
		})
	}
}

func TestAllDeclined(t *testing.T) {
	// Store a is primary of two partitions, b and c of one each.
	p := testPlacement([]string{"1-1-a", "1-1-b", "1-1-c", "1-1-a"})
	for _, test := range []struct {
		name       string
		declined   []int
		candidates []int
		want       bool
	}{
		{"none", nil, []int{0, 1, 2, 3}, false},
		{"some", []int{0, 1}, []int{0, 1, 2, 3}, false},
		{"a store declines for all its partitions", []int{0, 1, 2}, []int{0, 1, 2, 3}, true},
		{"the only candidate", []int{1}, []int{1}, true},
		{"the candidate's store, for another partition", []int{3}, []int{0}, true},
		{"another store than the candidate's", []int{1}, []int{0}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			declined := map[int]bool{}
			for _, i := range test.declined {
				declined[i] = true
			}
			if got := allDeclined(p, declined, test.candidates); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// BenchmarkCandidates measures ordering the candidate partitions of one message.
func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{6, 18, 60, 133} {
		b.Run(fmt.Sprintf("stores=%d", n), func(b *testing.B) {
			stores := map[string]placement.StoreStatus{}
			for i := range n {
				name := fmt.Sprintf("store-zone-%d-%d", i%9, i)
				stores[name] = placement.StoreStatus{Alive: true, Node: membership.Node{Name: name, Role: "store", Zone: fmt.Sprintf("zone-%d", i%9), Region: fmt.Sprintf("region-%d", i%3)}}
			}
			p := placement.Initial(stores, placement.Redundancy{Backups: 2})
			set := &settings.Settings{Zone: "zone-1", Region: "region-1", FaultTolerance: &settings.FaultTolerance{HostFailures: 2}}
			r := &partition.Record{ID: "attempt-000000000017", Tenant: "one"}
			b.ReportAllocs()
			for b.Loop() {
				candidatePartitions(&p, set, &configuration.Route{}, nil, r)
			}
		})
	}
}
