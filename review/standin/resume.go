package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// follower is a subscriber of one topic that comes back with its cursor whenever its
// connection has ended.
type follower struct {
	cluster *cluster
	topic   string
	cursor  string
	got     map[int]time.Time // by number
	expired bool
}

// follow stays subscribed until a moment, over as many connections as it takes.
func (f *follower) follow(until time.Time) {
	for zone := 2; time.Now().Before(until); zone = 1 + zone%3 {
		if err := f.stay(f.cluster.gateway(zone), until); err != nil {
			f.cluster.record.line("reader: %v", err)
		}
		time.Sleep(min(500*time.Millisecond, time.Until(until)))
	}
}

// stay is one connection: it reads at once whatever comes.
func (f *follower) stay(gateway string, until time.Time) error {
	l, err := f.cluster.dialLine("reader", gateway)
	if err != nil {
		return err
	}
	defer l.close()
	if err := l.say("%s", strings.TrimSpace("SUBSCRIBE "+f.topic+" "+f.cursor)); err != nil {
		return err
	}
	n := 0
	for {
		select {
		case <-time.After(time.Until(until)):
			f.cluster.record.line("reader: leaves at cursor %s; it got %d messages on this connection", f.cursor, n)
			return nil
		case m, ok := <-l.frames:
			switch {
			case !ok:
				return fmt.Errorf("the gateway ended the connection, %d messages came on it; the cursor is %s", n, f.cursor)
			case m.fields[0] == "OK" && m.fields[1] == "SUBSCRIBE":
				f.cursor = m.fields[3]
			case m.fields[0] == "REJECT":
				f.expired = f.expired || m.fields[len(m.fields)-1] == "EXPIRED"
				return fmt.Errorf("%v", m.fields)
			case m.fields[0] == "DELIVER":
				n++
				number, _ := strconv.Atoi(m.fields[4])
				f.got[number] = m.at
				f.cursor = m.fields[2]
			}
		}
	}
}

// resumeCase has a subscriber leave for some seconds and come back with its cursor.
func resumeCase(c *cluster) (*verdict, error) {
	const number = 200
	if err := c.begin(c.liveConfiguration(1, 500, 500)); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	f := &follower{cluster: c, topic: "ruling.drafts", got: map[int]time.Time{}}
	writer, err := c.dialLine("writer", c.gateway(1))
	if err != nil {
		return nil, err
	}
	defer writer.close()
	f.follow(time.Now().Add(2 * time.Second))
	if f.cursor == "" {
		return nil, fmt.Errorf("the subscriber got no OK")
	}
	published := make(chan map[int]time.Time)
	go func() {
		acknowledged := map[int]time.Time{}
		for n := 1; n <= number; n++ {
			answer, err := writer.publish(f.topic, n, strings.Repeat("d", 16384), 1500*time.Millisecond)
			if err == nil && answer == "ACK" {
				acknowledged[n] = time.Now()
			}
			time.Sleep(45 * time.Millisecond)
		}
		published <- acknowledged
	}()
	if trouble {
		c.record.line("disruption: the subscriber has left, at cursor %s", f.cursor)
		time.Sleep(11 * time.Second)
		c.record.line("the subscriber comes back")
	}
	f.follow(time.Now().Add(18 * time.Second))
	acknowledged := <-published
	c.record.line("%d of %d messages were acknowledged, %d arrived", len(acknowledged), number, len(f.got))
	if f.expired {
		return nil, fmt.Errorf("the subscription was refused")
	}
	v := &verdict{rule: "LOST"}
	for n := 1; n <= number; n++ {
		at, ok := acknowledged[n]
		if _, here := f.got[n]; ok && !here {
			v.add("number %d, acknowledged at %s, has not come to the subscriber that came back with cursor %s", n, c.record.at(at), f.cursor)
		}
	}
	return v, nil
}
