package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one message of a client.
type sent struct {
	id     string
	at     time.Time
	status int // 0: no complete answer
	name   string
	done   time.Time
}

// client sends messages over kept connections to one node, with an id of its own for
// each try, and makes no further try.
type client struct {
	record *record
	http   *http.Client
	target string // http://edge/path
	host   string
	key    string
	prefix string
	n      atomic.Int64

	mu   sync.Mutex
	sent []sent
}

func newClient(rec *record, target, host, key, prefix string) *client {
	return &client{
		record: rec, target: target, host: host, key: key, prefix: prefix,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}, Timeout: 3 * time.Second},
	}
}

func (c *client) send(body []byte, header map[string]string) sent {
	m := sent{id: fmt.Sprintf("%s%06d", c.prefix, c.n.Add(1)), at: time.Now()}
	req, _ := http.NewRequest("POST", c.target, bytes.NewReader(body))
	req.GetBody = nil // each try has an id of its own, so the transport sends nothing again
	req.Host = c.host
	req.Header.Set("Saltreel-Key", c.key)
	req.Header.Set("Saltreel-Attempt-Id", m.id)
	req.Header.Set("Saltreel-Deadline-Ms", "2000")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	c.record.add("client: %s sent", m.id)
	r, err := c.http.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		if err == nil {
			m.status, m.name = r.StatusCode, r.Header.Get("Saltreel-Message-Name")
		}
	}
	m.done = time.Now()
	if err != nil {
		c.record.add("client: %s has no answer: %v", m.id, err)
	} else {
		c.record.add("client: %s answered %d, name %q", m.id, m.status, m.name)
	}
	c.mu.Lock()
	c.sent = append(c.sent, m)
	c.mu.Unlock()
	return m
}

// usualAnswer returns how long the last answers took, the middle one of them.
func (c *client) usualAnswer() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var took []time.Duration
	for _, m := range c.sent[max(0, len(c.sent)-200):] {
		took = append(took, m.done.Sub(m.at))
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return took[len(took)/2]
}

func (c *client) all() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.sent...)
}
