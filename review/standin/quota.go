package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// quotaCase lowers the limit of a tenant while messages of it wait for their delay.
func quotaCase(c *cluster) (*verdict, error) {
	const number = 150
	address := c.listenAddress(7, 1)
	h, err := startHandler(c, "desk", address, func(string, string, string, int) answer {
		return answer{work: 30 * time.Millisecond, status: 200}
	})
	if err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-photo", "/photo/", "desk", 1500, 4, false)}
	services := []map[string]any{service("desk", address, 110, 0)}
	if err := c.begin(configuration(1, routes, services, tenant(139, 139), 262144)); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)

	// All fall due at the same time.
	due := time.Now().Add(12 * time.Second)
	var sending sync.WaitGroup
	messages := make([]accepted, number)
	failed := make([]error, number)
	for i := range number {
		sending.Go(func() {
			messages[i], failed[i] = c.send(1+i%3, message{path: fmt.Sprintf("/photo/%d", i), body: strings.Repeat("p", 200_000), at: due})
		})
	}
	sending.Wait()
	for _, err := range failed {
		if err != nil {
			return nil, fmt.Errorf("not all messages were accepted: %w", err)
		}
	}
	if trouble {
		c.record.line("disruption: the operator lowers the limit of the tenant")
		if _, err := c.putConfiguration(configuration(2, routes, services, tenant(2, 2), 262144), 1, 5*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(due.Add(9800 * time.Millisecond)))

	v := &verdict{rule: "LOST"}
	runs := h.all()
	var lastSuccess time.Time
	ran := map[string]bool{}
	for _, r := range runs {
		ran[r.id] = true
		if r.status == 200 && r.ended.After(lastSuccess) {
			lastSuccess = r.ended
		}
	}
	calm := time.Since(lastSuccess)
	c.record.line("%d of %d messages were run; the last success was %v ago", len(ran), number, calm.Round(time.Millisecond))
	for _, m := range messages {
		if ran[m.id] {
			continue
		}
		state := c.state(m)
		c.record.line("client: %s is %q, %v after it was due", m.id, state, time.Since(due).Round(time.Millisecond))
		if state == "pending" && calm > 6*time.Second {
			v.add("%s is pending %v after it was due; no handler has had it, and none has had anything for %v", m.id, time.Since(due).Round(time.Millisecond), calm.Round(time.Millisecond))
		}
	}
	return v, nil
}
