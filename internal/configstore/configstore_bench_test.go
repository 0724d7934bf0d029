package configstore

import (
	"encoding/json"
	"fmt"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"

	"saltreel/internal/chain"
	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/journal"
)

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

// BenchmarkConfiguration measures a change of a configuration with n destinations: the
// decision at the head, and the decoding at each core and node, as an update of the
// chain and as an event of the journal.
func BenchmarkConfiguration(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 44000} {
		docs := chain.Documents{KeyConfiguration: configurationOf(n, 1)}
		next := configurationOf(n, 2)
		b.Run(fmt.Sprintf("decide/destinations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := decideConfiguration(docs, &Proposal{Configuration: next, BaseRevision: 1}); err != nil {
					b.Fatal(err)
				}
			}
		})
		update := journal.Encode(chain.UpdateRequest{Sequence: 2, Set: chain.Documents{KeyConfiguration: next}})
		b.Run(fmt.Sprintf("update/destinations=%d", n), func(b *testing.B) { benchmarkUpdate(b, update) })
		event := journal.Event{Key: distribution.KeyConfiguration, Version: journal.Version{Major: 2}, Value: journal.Encode(next)}
		page := journal.Page{Source: "a", Events: []journal.Event{event}}
		b.Run(fmt.Sprintf("event/destinations=%d", n), func(b *testing.B) { benchmarkEvent(b, page.Encode()) })
	}
}

// benchmarkUpdate decodes an update and encodes it for the next core.
func benchmarkUpdate(b *testing.B, raw []byte) {
	b.ReportAllocs()
	for b.Loop() {
		var in chain.UpdateRequest
		if err := json.Unmarshal(raw, &in); err != nil {
			b.Fatal(err)
		}
		journal.Encode(in)
	}
	b.ReportMetric(float64(len(raw)), "document-B")
}

// benchmarkEvent decodes a journal page with a configuration and builds the routing
// table of a node.
func benchmarkEvent(b *testing.B, page []byte) {
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
}
