package main

import (
	"fmt"
	"time"
)

// endpointCase moves a service to another fixed endpoint.
func endpointCase(c *cluster) (*verdict, error) {
	quick := func(string, string, string, int) answer { return answer{work: 20 * time.Millisecond, status: 200} }
	before, after := c.listenAddress(7, 1), c.listenAddress(7, 2)
	old, err := startHandler(c, "partner-old", before, quick)
	if err != nil {
		return nil, err
	}
	next, err := startHandler(c, "partner-new", after, quick)
	if err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-approval", "/approval/", "partner", 1500, 3, false)}
	if err := c.begin(configuration(1, routes, []map[string]any{service("partner", before, 24, 39)}, tenant(139, 139), 262144)); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	s := c.sendSteadily(20, stop, func(n int) (int, message) {
		return 1 + n%3, message{path: fmt.Sprintf("/approval/%d", n), body: "an approved translation"}
	})
	time.Sleep(5 * time.Second)
	acknowledged := time.Now()
	if trouble {
		c.record.line("disruption: the operator moves the service from %s to %s", before, after)
		services := []map[string]any{service("partner", after, 24, 39)}
		if acknowledged, err = c.putConfiguration(configuration(2, routes, services, tenant(139, 139), 262144), 1, 5*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(15 * time.Second)
	close(stop)
	s.tasks.Wait()
	time.Sleep(2 * time.Second)

	v := &verdict{rule: "CONFIG"}
	sent := map[string]time.Time{}
	for _, a := range s.accepted {
		sent[a.id] = a.sent
	}
	c.record.line("%d runs at the former endpoint, %d at the new one", len(old.all()), len(next.all()))
	if !trouble {
		if n := len(next.all()); n > 0 {
			v.add("%d runs at an endpoint that no configuration named", n)
		}
		return v, nil
	}
	for _, r := range old.all() {
		if at, ok := sent[r.id]; ok && at.Sub(acknowledged) > 3*time.Second {
			v.add("%s was sent %v after the configuration was acknowledged, and runs at the former endpoint", r.id, at.Sub(acknowledged).Round(time.Millisecond))
		}
	}
	return v, nil
}
