package controlplane

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"saltreel/internal/chain"
	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/handler"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

var handlerSizes = []int{1000, 10000, 44000}

func beatOf(i, seq int) Item {
	in := handler.Instance{ID: fmt.Sprintf("tm-matcher-%06d", i), Service: "tm-matcher", Address: fmt.Sprintf("10.20.%d.%d:9000", i>>8&255, i&255),
		Zone: "quezon-hall", Revision: "v1", Slots: 2, State: handler.Ready, CallSeq: int64(seq)}
	return Item{Key: distribution.PrefixInstance + in.ID, Version: journal.Version{Major: in.CallSeq}, Value: journal.Encode(in)}
}

// benchNode is store i of a fleet in nine zones of three regions.
func benchNode(i int) membership.Node {
	return membership.Node{Name: fmt.Sprintf("store-zone-%d-%d", i%9, i), Role: "store", Address: fmt.Sprintf("10.%d.0.%d:7100", i%9, i), Zone: fmt.Sprintf("zone-%d", i%9),
		Region: fmt.Sprintf("region-%d", i%3), Disk: fmt.Sprintf("DISKDISKDISKDISKDISK%06d", i)}
}

func registryOf(n int) *registry {
	r := &registry{entries: map[string]*entry{}, journal: journal.New("bench", time.Hour, distribution.PrefixNode), late: time.Second}
	for i := range n {
		r.hear(beatOf(i, 1))
	}
	for i := range 650 {
		r.beat(benchNode(i))
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
				in, err := handler.ParseHeartbeat(fmt.Sprintf("tm-matcher-%06d", i), bodies[i])
				if err != nil {
					b.Fatal(err)
				}
				r.hear(Item{Key: distribution.PrefixInstance + in.ID, Version: journal.Version{Major: in.CallSeq}, Value: journal.Encode(in)})
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
		pass := chain.UpdateRequest{Sequence: 2, Set: chain.Documents{docConfiguration: next}}
		raw := journal.Encode(pass)
		b.Run(fmt.Sprintf("pass/destinations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var in chain.UpdateRequest
				if err := json.Unmarshal(raw, &in); err != nil {
					b.Fatal(err)
				}
				journal.Encode(in)
			}
			b.ReportMetric(float64(len(raw)), "document-B")
		})
		event := journal.Page{Source: "a", Events: []journal.Event{{Key: distribution.KeyConfiguration, Version: journal.Version{Major: 2}, Value: journal.Encode(next)}}}
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
