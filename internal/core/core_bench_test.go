package core

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"saltreel/internal/chain"
	"saltreel/internal/configuration"
	"saltreel/internal/handler"
	"saltreel/internal/journal"
	"saltreel/internal/relay"
)

// fleet is n stores in nine zones of three regions, all up.
func fleet(n int) map[string]StoreStatus {
	out := map[string]StoreStatus{}
	for i := range n {
		name := fmt.Sprintf("store-zone-%d-%d", i%9, i)
		out[name] = StoreStatus{Up: true, Node: relay.Node{Name: name, Role: "store", Address: fmt.Sprintf("10.%d.0.%d:7100", i%9, i), Zone: fmt.Sprintf("zone-%d", i%9),
			Region: fmt.Sprintf("region-%d", i%3), Disk: fmt.Sprintf("DISKDISKDISKDISKDISK%06d", i)}}
	}
	return out
}

var (
	two          = Spread{Backups: 2}
	storeSizes   = []int{6, 18, 60, 133}
	handlerSizes = []int{1000, 10000, 44000}
)

func BenchmarkPlacement(b *testing.B) {
	for _, n := range storeSizes {
		p := Found(fleet(n), two)
		raw := journal.Encode(p)
		b.Run(fmt.Sprintf("encode/stores=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				journal.Encode(p)
			}
			b.ReportMetric(float64(len(raw)), "document-B")
		})
		b.Run(fmt.Sprintf("decode/stores=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var out Placement
				if err := json.Unmarshal(raw, &out); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlan is one round of the steward when nothing changed, and one in
// which a store is lost.
func BenchmarkPlan(b *testing.B) {
	for _, n := range storeSizes {
		s := fleet(n)
		p := Found(s, two)
		b.Run(fmt.Sprintf("calm/stores=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(p.Clone(), s, nil, two)
			}
		})
		lost := fleet(n)
		for name, x := range lost {
			x.Up = false
			lost[name] = x
			break
		}
		b.Run(fmt.Sprintf("lost/stores=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(p.Clone(), lost, nil, two)
			}
		})
	}
}

func beatOf(i, seq int) Item {
	in := handler.Instance{ID: fmt.Sprintf("tm-matcher-%06d", i), Service: "tm-matcher", Address: fmt.Sprintf("10.20.%d.%d:9000", i>>8&255, i&255),
		Zone: "quezon-hall", Revision: "v1", Slots: 2, State: handler.Ready, CallSeq: int64(seq)}
	return Item{Key: relay.PrefixInstance + in.ID, Version: journal.Version{Major: in.CallSeq}, Value: journal.Encode(in)}
}

func registryOf(n int) *registry {
	r := &registry{entries: map[string]*entry{}, journal: journal.New("bench", time.Hour, relay.PrefixNode), late: time.Second}
	for i := range n {
		r.hear(beatOf(i, 1))
	}
	for name, s := range fleet(650) {
		r.beat(s.Node)
		_ = name
	}
	return r
}

func known(string) journal.Version { return journal.Version{Major: 1 << 62} }

// BenchmarkRegistry is what a core does with n handlers and 650 nodes: take one
// beat of a handler, list what an exchange carries, list the nodes, look for
// the silent ones.
func BenchmarkRegistry(b *testing.B) {
	for _, n := range handlerSizes {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := registryOf(n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		held := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
		bodies := make([][]byte, 1000)
		b.Run(fmt.Sprintf("beat/handlers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			seq, at := 1, 0
			for b.Loop() {
				if at%len(bodies) == 0 {
					b.StopTimer()
					seq++
					for i := range bodies {
						bodies[i] = beatOf(i, seq).Value
					}
					b.StartTimer()
				}
				i := at % len(bodies)
				in, err := handler.ParseBeat(fmt.Sprintf("tm-matcher-%06d", i), bodies[i])
				if err != nil {
					b.Fatal(err)
				}
				r.hear(Item{Key: relay.PrefixInstance + in.ID, Version: journal.Version{Major: in.CallSeq}, Value: journal.Encode(in)})
				at++
			}
			b.ReportMetric(held, "held-B/handler")
		})
		b.Run(fmt.Sprintf("since/handlers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.since(time.Time{}, known)
			}
		})
		b.Run(fmt.Sprintf("nodes/handlers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.nodes()
			}
		})
		b.Run(fmt.Sprintf("silent/handlers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.silent(time.Hour, 2*time.Hour)
			}
		})
		b.Run(fmt.Sprintf("expire/handlers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.expire(time.Hour, time.Hour)
			}
		})
	}
}

// BenchmarkExchange encodes and decodes an exchange of n beats without values,
// as it goes between two cores each quarter of contact-ms.
func BenchmarkExchange(b *testing.B) {
	for _, n := range handlerSizes {
		items, _ := registryOf(n).since(time.Time{}, known)
		raw := journal.Encode(Exchange{From: "10.0.0.1:7100", Items: items})
		b.Run(fmt.Sprintf("encode/items=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				journal.Encode(Exchange{From: "10.0.0.1:7100", Items: items})
			}
			b.ReportMetric(float64(len(raw)), "document-B")
		})
		b.Run(fmt.Sprintf("decode/items=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var in Exchange
				if err := json.Unmarshal(raw, &in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func configurationOf(n, revision int) []byte {
	c := &configuration.Configuration{Revision: int64(revision)}
	for i := range n {
		name := fmt.Sprintf("vendor-gateways-%d", i)
		c.RouteTable = append(c.RouteTable, &configuration.Route{Name: "r-" + name, HostMatch: fmt.Sprintf("app%d.example", i/100), PathPrefix: fmt.Sprintf("/vendor-approval/%d/", i),
			RouteType: "deferred", TimeoutMs: 800, TargetLatencyMs: 200, Priority: 2, Service: name, MaxAttempts: 3, RetentionS: 90, StartTargetMs: 800})
		c.ServiceTable = append(c.ServiceTable, &configuration.Service{Name: name, HealthPath: "/health", MaxConnections: 29, Protocol: "h1", RatePerS: 64,
			StaticEndpoint: fmt.Sprintf("10.%d.%d.%d:90", i>>16, i>>8&255, i&255)})
	}
	raw, err := protojson.Marshal(c)
	if err != nil {
		panic(err)
	}
	return raw
}

// BenchmarkConfiguration is what a change of n destinations costs at the head
// to decide, and at each core and node to read as it travels: down the chain,
// and as news.
func BenchmarkConfiguration(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 44000} {
		docs := chain.Documents{docConfiguration: configurationOf(n, 1)}
		next := configurationOf(n, 2)
		b.Run(fmt.Sprintf("decide/destinations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := decideConfiguration(docs, &Proposal{Configuration: next, Match: 1}); err != nil {
					b.Fatal(err)
				}
			}
		})
		pass := chain.Pass{Sequence: 2, Set: chain.Documents{docConfiguration: next}}
		raw := journal.Encode(pass)
		b.Run(fmt.Sprintf("pass/destinations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var in chain.Pass
				if err := json.Unmarshal(raw, &in); err != nil {
					b.Fatal(err)
				}
				journal.Encode(in)
			}
			b.ReportMetric(float64(len(raw)), "document-B")
		})
		event := journal.Page{Source: "a", Events: []journal.Event{{Key: relay.KeyConfiguration, Version: journal.Version{Major: 2}, Value: journal.Encode(next)}}}
		page := event.Encode()
		b.Run(fmt.Sprintf("news/destinations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var in journal.Page
				if err := json.Unmarshal(page, &in); err != nil {
					b.Fatal(err)
				}
				c, err := configuration.Parse(journal.Decode[[]byte](in.Events[0]))
				if err != nil {
					b.Fatal(err)
				}
				configuration.NewTable(c)
			}
			b.ReportMetric(float64(len(page)), "document-B")
		})
	}
}
