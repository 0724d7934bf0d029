package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// limits are those of the pages' example but for the size of a body.
func limits(maxBody int) map[string]any {
	return map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBody, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
}

func route(name, prefix, service string, timeoutMs, attempts int, inOrder bool) map[string]any {
	return map[string]any{
		"name": name, "host-match": host, "path-prefix": prefix, "route-type": "deferred", "timeout-ms": timeoutMs,
		"target-latency-ms": 200, "priority": 1, "service": service, "max-attempts": attempts, "in-order": inOrder,
		"retention-s": 90.0, "callback-url": false, "start-target-ms": 800, "public-access": false,
	}
}

// service describes a service; without an address its handlers register themselves.
func service(name, address string, connections int, rate float64) map[string]any {
	s := map[string]any{
		"name": name, "health-path": "/health", "max-connections": connections, "protocol": "h1", "tls-mode": false,
		"rate-per-s": rate, "dedup-capable": false, "pull-mode": false, "static-endpoint": nil,
	}
	if address != "" {
		s["static-endpoint"] = address
	}
	return s
}

func tenant(rate, burst float64) map[string]any {
	return map[string]any{"name": "example", "api-keys": []string{apiKey}, "priority": 1, "rate-per-s": rate, "burst-size": burst}
}

func configuration(revision int, routes, services []map[string]any, t map[string]any, maxBody int) map[string]any {
	return map[string]any{"revision": revision, "route-table": routes, "service-table": services, "limits": limits(maxBody), "tenant-table": []any{t}}
}

// listenAddress is an address of this cluster on which nobody listens.
func (c *cluster) listenAddress(class, n int) string {
	return net.JoinHostPort(c.address(1+n%3, class), fmt.Sprint(c.spare+n))
}

// sendSteadily sends messages at a rate until stop is closed, and returns those that
// were accepted.
func (c *cluster) sendSteadily(perSecond int, stop <-chan struct{}, next func(n int) (zone int, m message)) *sending {
	s := &sending{}
	s.tasks.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			zone, m := next(n)
			s.tasks.Go(func() {
				a, err := c.send(zone, m)
				if err != nil {
					return
				}
				s.mu.Lock()
				defer s.mu.Unlock()
				s.accepted = append(s.accepted, a)
			})
		}
	})
	return s
}

// sending is the messages of one client.
type sending struct {
	tasks    sync.WaitGroup
	mu       sync.Mutex
	accepted []accepted
}

// start begins a cluster with a configuration.
func (c *cluster) begin(conf map[string]any) error {
	if _, err := c.putConfiguration(conf, 0, 15*time.Second); err != nil {
		return fmt.Errorf("first configuration: %w", err)
	}
	return c.awaitReady(15 * time.Second)
}
