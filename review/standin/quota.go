package main

import (
	"fmt"
	"strings"
	"time"
)

// quotaCase lowers the limit of a tenant for some seconds, while messages of it that were
// accepted before wait for their delay.
func quotaCase(c *cluster) (*verdict, error) {
	address := c.listenAddress(7, 1)
	h, err := startHandler(c, "desk", address, func(string, string, string, int) answer {
		return answer{work: 30 * time.Millisecond, status: 200}
	})
	if err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-photo", "/photo/", "desk", 1000, 4, false)}
	services := []map[string]any{service("desk", address, 110, 0)}
	if err := c.begin(configuration(1, routes, services, tenant(139, 139), 262144)); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)

	const longest = 4 * time.Second
	stop := make(chan struct{})
	s := c.sendSteadily(120, stop, func(n int) (int, message) {
		m := message{path: fmt.Sprintf("/photo/%d", n), body: strings.Repeat("p", 3300)}
		if n%5 < 2 {
			m.delay = longest * time.Duration(1+n%7) / 7
		}
		return 1 + n%3, m
	})
	time.Sleep(15 * time.Second)
	close(stop)
	s.tasks.Wait()
	ended := time.Now()
	c.record.line("the traffic has ended")
	if trouble {
		c.record.line("disruption: the operator limits the tenant to one message a minute")
		if _, err := c.putConfiguration(configuration(2, routes, services, tenant(1.0/60, 1), 262144), 1, 5*time.Second); err != nil {
			return nil, err
		}
		time.Sleep(5 * time.Second)
		c.record.line("the operator lifts that limit")
		if _, err := c.putConfiguration(configuration(3, routes, services, tenant(139, 139), 262144), 2, 5*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(ended.Add(longest + 12*time.Second))) // completion-s is 10

	v := &verdict{rule: "LOST"}
	var lastSuccess time.Time
	ran := map[string]bool{}
	for _, r := range h.all() {
		ran[r.id] = true
		if r.status == 200 && r.ended.After(lastSuccess) {
			lastSuccess = r.ended
		}
	}
	calm := time.Since(lastSuccess)
	c.record.line("%d messages were accepted, %d were run; the last success was %v ago", len(s.accepted), len(ran), calm.Round(time.Millisecond))
	for _, m := range s.accepted {
		if ran[m.id] {
			continue
		}
		state := c.state(m)
		due := time.Since(m.sent.Add(m.delay)).Round(time.Millisecond)
		c.record.line("client: %s, sent %s with a delay of %v, is %q, %v after it was due", m.id, c.record.at(m.sent), m.delay.Round(time.Millisecond), state, due)
		if state == "pending" && calm > 6*time.Second {
			v.add("%s is pending %v after it was due; no handler has had it, and none has had anything for %v", m.id, due, calm.Round(time.Millisecond))
		}
	}
	return v, nil
}
