package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// replicas is where the operator's status shows one partition.
type replicas struct {
	Primary string `json:"primary"`
	Backups []struct {
		Store  string `json:"store"`
		InStep bool   `json:"in-step"`
	} `json:"backups"`
}

// placement asks one core for the operator's status; it only chooses when a disruption strikes.
func (c *cluster) placement(zone int) []replicas {
	answer, err := httpClient.Get(fmt.Sprintf("http://%s:%d/v1/status", c.address(zone, core), c.control))
	if err != nil {
		return nil
	}
	defer answer.Body.Close()
	var s struct {
		Placement struct {
			Partitions []replicas `json:"partitions"`
		} `json:"placement"`
	}
	if json.NewDecoder(answer.Body).Decode(&s) != nil {
		return nil
	}
	return s.Placement.Partitions
}

// onlyCopies are the partitions of which one store has the only copy in the placement that
// is complete: the others are being filled.
func onlyCopies(partitions []replicas, store string) map[int]bool {
	out := map[int]bool{}
	for n, p := range partitions {
		only := p.Primary == store
		for _, b := range p.Backups {
			only = only && !b.InStep
		}
		if only {
			out[n] = true
		}
	}
	return out
}

// body asks for the bytes of a message, again and again until a moment; "" if they do not come.
func (c *cluster) body(a accepted, until time.Time) (body, last string) {
	for i := 0; ; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/message-body/%s", c.address(1+i%3, edge), c.data, a.name), nil)
		request.Host = host
		request.Header.Set("Saltreel-Key", apiKey)
		answer, err := httpClient.Do(request)
		if err == nil {
			raw, _ := io.ReadAll(answer.Body)
			answer.Body.Close()
			cancel()
			if answer.StatusCode == 200 {
				return string(raw), "200"
			}
			last = fmt.Sprintf("%d %s", answer.StatusCode, strings.TrimSpace(string(raw)))
		} else {
			cancel()
			last = err.Error()
		}
		if time.Now().After(until) {
			return "", last
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// overlapCase kills the process of a store, and has another store lose its disk before the
// copies are made anew that the first one's absence costs. Both come back, the first with its
// disk.
func overlapCase(c *cluster) (*verdict, error) {
	const first, second = 1, 2 // zones
	address := c.listenAddress(7, 1)
	if _, err := startHandler(c, "desk", address, func(string, string, string, int) answer {
		return answer{work: 30 * time.Millisecond, status: 200}
	}); err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-photo", "/photo/", "desk", 1000, 4, false)}
	services := []map[string]any{service("desk", address, 110, 0)}
	if err := c.begin(configuration(1, routes, services, tenant(500, 500), 262144)); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	s := c.sendSteadily(500, stop, func(n int) (int, message) {
		return 1 + n%3, message{path: fmt.Sprintf("/photo/%d", n), body: strings.Repeat(string(rune('a'+n%26)), 13000), delay: 80 * time.Second}
	})
	time.Sleep(12 * time.Second)
	close(stop)
	s.tasks.Wait()
	c.record.line("%d messages are accepted", len(s.accepted))
	time.Sleep(time.Second)

	lone := map[int]bool{}
	if trouble {
		var err error
		if lone, err = c.overlap(first, second); err != nil {
			return nil, err
		}
		c.record.line("both stores are back; partitions of which the second had the only complete copy in the placement: %v", lone)
	}
	time.Sleep(12 * time.Second) // recovery-s

	v := &verdict{rule: "LOST"}
	until := time.Now().Add(10 * time.Second)
	var asking sync.WaitGroup
	var mu sync.Mutex
	var asked atomic.Int64
	step := max(1, len(s.accepted)/300)
	for i := 0; i < len(s.accepted); i += step {
		a := s.accepted[i]
		asked.Add(1)
		asking.Go(func() {
			body, last := c.body(a, until)
			if body == a.body {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			number, _, _ := strings.Cut(a.name, ".")
			n, _ := strconv.Atoi(number)
			v.add("the body of %s (accepted %s) is not returned: %s; partition %s, struck: %v", a.name, c.record.at(a.acknowledged), last, number, lone[n])
		})
	}
	asking.Wait()
	c.record.line("%d bodies were asked for, %d did not come", asked.Load(), len(v.breaks))
	for n, p := range c.placement(3) {
		c.record.line("partition %d: %+v", n, p)
	}
	return v, nil
}

// overlap plays the disruption, and returns the partitions that it struck.
func (c *cluster) overlap(first, second int) (map[int]bool, error) {
	name := fmt.Sprintf("%s-zone-%d-1", c.role(store), second)
	c.signal(first, store, syscall.SIGKILL)
	c.wait(first, store)
	killed := time.Now()
	var lone map[int]bool
	for deadline := time.Now().Add(5 * time.Second); len(lone) == 0; {
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("the copies were made anew before the second disruption")
		}
		time.Sleep(2 * time.Millisecond)
		lone = onlyCopies(c.placement(3), name)
	}
	c.signal(second, store, syscall.SIGKILL)
	struck := time.Now()
	c.wait(second, store)
	if err := os.RemoveAll(c.dataPath(second, store)); err != nil {
		return nil, err
	}
	c.record.line("disruption: store-%d, killed %v after store-%d, has lost its disk", second, struck.Sub(killed).Round(time.Millisecond), first)
	time.Sleep(time.Until(struck.Add(2 * time.Second)))
	if err := c.start(second, store, false); err != nil {
		return nil, err
	}
	c.record.line("platform: store-%d is started again, with an empty disk", second)
	time.Sleep(time.Until(killed.Add(2800 * time.Millisecond)))
	c.record.line("platform: store-%d is started again, with its disk", first)
	return lone, c.start(first, store, false)
}
