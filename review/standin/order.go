package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// orderCase has two routes in order, one of them to an outside endpoint with a rate,
// which turns slow.
func orderCase(c *cluster) (*verdict, error) {
	const things = 12
	var slow atomic.Bool
	outside, inside := c.listenAddress(7, 1), c.listenAddress(7, 2)
	approvals, err := startHandler(c, "vendor", outside, func(string, string, string, int) answer {
		if slow.Load() {
			return answer{work: 1200 * time.Millisecond, status: 200}
		}
		return answer{work: 45 * time.Millisecond, status: 200}
	})
	if err != nil {
		return nil, err
	}
	updates, err := startHandler(c, "termbase", inside, func(string, string, string, int) answer {
		return answer{work: 15 * time.Millisecond, status: 200}
	})
	if err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-approval", "/approval/", "vendor", 1500, 3, true), route("r-update", "/update/", "termbase", 1000, 6, true)}
	services := []map[string]any{service("vendor", outside, 24, 39), service("termbase", inside, 78, 0)}
	if err := c.begin(configuration(1, routes, services, tenant(139, 139), 262144)); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.record.line("disruption: the outside endpoint turns slow")
		slow.Store(true)
	}
	var pairs [][2]accepted
	for i := range things {
		key := fmt.Sprintf("term-%d", i)
		first, err := c.send(1+i%3, message{path: "/approval/" + key, orderKey: key, body: "approve the term as it was"})
		if err != nil {
			return nil, err
		}
		time.Sleep(300 * time.Millisecond)
		second, err := c.send(1+(i+1)%3, message{path: "/update/" + key, orderKey: key, body: "correct the term"})
		if err != nil {
			return nil, err
		}
		pairs = append(pairs, [2]accepted{first, second})
	}
	time.Sleep(5 * time.Second)

	v := &verdict{rule: "ORDER"}
	ends, starts := map[string]time.Time{}, map[string]time.Time{}
	for _, r := range approvals.all() {
		if _, ok := ends[r.id]; !ok && r.status == 200 {
			ends[r.id] = r.ended
		}
	}
	for _, r := range updates.all() {
		if _, ok := starts[r.id]; !ok {
			starts[r.id] = r.began
		}
	}
	for _, p := range pairs {
		end, ok := ends[p[0].id]
		began, ran := starts[p[1].id]
		if !ok || !ran {
			return nil, fmt.Errorf("%s or %s was not run", p[0].id, p[1].id)
		}
		if began.Before(end.Add(-10 * time.Millisecond)) {
			v.add("%s of key %s began at %s, before the end of %s at %s, which was accepted at %s, before the other was sent at %s",
				p[1].id, p[1].orderKey, c.record.at(began), p[0].id, c.record.at(end), c.record.at(p[0].acknowledged), c.record.at(p[1].sent))
		}
	}
	return v, nil
}
