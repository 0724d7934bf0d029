package configuration

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
)

// destinations returns a configuration with n external endpoints, each with its own
// service and route, and with up to 100 routes per host.
func destinations(n int) *Configuration {
	c := &Configuration{Revision: 1, Limits: &Limits{MaxBodyBytes: 1 << 18}}
	for i := range n {
		name := fmt.Sprintf("vendor-gateways-%d", i)
		c.RouteTable = append(c.RouteTable, &Route{Name: "r-" + name, HostMatch: fmt.Sprintf("app%d.example", i/100), PathPrefix: fmt.Sprintf("/vendor-approval/%d/", i),
			RouteType: "deferred", TimeoutMs: 800, TargetLatencyMs: 200, Priority: 2, Service: name, MaxAttempts: 3, RetentionS: 90, StartTargetMs: 800})
		c.ServiceTable = append(c.ServiceTable, &Service{Name: name, HealthPath: "/health", MaxConnections: 29, Protocol: "h1", RatePerS: 64,
			StaticEndpoint: fmt.Sprintf("10.%d.%d.%d:90", i>>16, i>>8&255, i&255)})
	}
	for i := range 1 + n/50 {
		c.TenantTable = append(c.TenantTable, &Tenant{Name: fmt.Sprintf("tenant-%d", i), ApiKeys: []string{fmt.Sprintf("key-%032d", i)}, Priority: 1, RatePerS: 100, BurstSize: 100})
	}
	return c
}

var sizes = []int{10, 100, 1000, 44000}

func BenchmarkParse(b *testing.B) {
	for _, n := range sizes {
		raw, err := protojson.Marshal(destinations(n))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("destinations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse(raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "document-B")
		})
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, n := range sizes {
		c := destinations(n)
		b.Run(fmt.Sprintf("destinations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := protojson.Marshal(c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkNewTable(b *testing.B) {
	for _, n := range sizes {
		c := destinations(n)
		b.Run(fmt.Sprintf("destinations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewTable(c)
			}
		})
	}
}

// BenchmarkRoute looks up a route when all routes belong to one host.
func BenchmarkRoute(b *testing.B) {
	for _, n := range sizes {
		c := destinations(n)
		for _, r := range c.RouteTable {
			r.HostMatch = "app.example"
		}
		t := NewTable(c)
		target := c.RouteTable[n/2].PathPrefix + "x"
		b.Run(fmt.Sprintf("routes-of-the-host=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if t.Route("app.example", target) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
