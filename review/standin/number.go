package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// resettingProxy passes the bytes of connections on to an address. While armed, it
// resets a connection in place of passing on an ACK.
type resettingProxy struct {
	listener net.Listener
	to       string
	record   *record
	armed    *atomic.Bool
}

func (c *cluster) startProxy(n int, to string, armed *atomic.Bool) (address string, err error) {
	listener, err := net.Listen("tcp", c.listenAddress(8, n))
	if err != nil {
		return "", err
	}
	p := &resettingProxy{listener: listener, to: to, record: c.record, armed: armed}
	go p.serve()
	return listener.Addr().String(), nil
}

func (p *resettingProxy) strikes(data []byte) bool {
	return bytes.Contains(data, []byte("ACK ")) && p.armed.CompareAndSwap(true, false)
}

func (p *resettingProxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.DialTimeout("tcp", p.to, time.Second)
		if err != nil {
			client.Close()
			continue
		}
		go p.pass(server, client, false)
		go p.pass(client, server, true)
	}
}

func (p *resettingProxy) pass(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if answers && p.strikes(buffer[:n]) {
			p.record.line("disruption: the connection of the publisher is reset; this is lost: %q", buffer[:n])
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = from.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// numberCase resets the connection of a publisher whose tenant is at its limit.
func numberCase(c *cluster) (*verdict, error) {
	const rounds = 8
	if err := c.begin(c.liveConfiguration(1, 20, 20)); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	reader, err := c.dialLine("reader", c.gateway(3))
	if err != nil {
		return nil, err
	}
	if err := reader.subscribe("ruling.terms", ""); err != nil {
		return nil, err
	}
	delivered := make(chan frame, 4096)
	go func() {
		for f := range reader.frames {
			if f.fields[0] == "DELIVER" {
				c.record.line("subscriber: gets number %s of %s at %s: %q", f.fields[4], f.fields[3], f.fields[2], f.body)
				delivered <- f
			}
		}
		close(delivered)
	}()

	// Another client of the tenant sends more than the limit all the while.
	stop := make(chan struct{})
	var hot sync.WaitGroup
	hot.Go(func() { c.pressTenant(stop) })
	time.Sleep(4 * time.Second)

	var armed atomic.Bool
	desk := &desk{cluster: c}
	for zone := 1; zone <= 2; zone++ {
		address, err := c.startProxy(zone, c.gateway(zone), &armed)
		if err != nil {
			return nil, err
		}
		desk.addresses = append(desk.addresses, address)
	}
	for round := range rounds {
		armed.Store(trouble)
		desk.publish(fmt.Sprintf("ruling %02d: from now on the term is so", round))
		armed.Store(false)
	}
	close(stop)
	hot.Wait()
	time.Sleep(3 * time.Second)
	reader.close()

	v := &verdict{rule: "ORDER"}
	first := map[string]frame{}
	for f := range delivered {
		if old, ok := first[f.body]; ok {
			v.add("%q arrives a second time: at %s under number %s, and at %s under number %s", f.body, c.record.at(old.at), old.fields[4], c.record.at(f.at), f.fields[4])
			continue
		}
		first[f.body] = f
	}
	c.record.line("%d of %d messages arrived", len(first), rounds)
	return v, nil
}

// pressTenant publishes more than the tenant's limit on another topic, with a few messages
// at a time.
func (c *cluster) pressTenant(stop <-chan struct{}) {
	var clients sync.WaitGroup
	for i := range 2 {
		clients.Go(func() {
			l, err := c.dialLine(fmt.Sprintf("busy%d", i), c.gateway(1+i%3))
			if err != nil {
				return
			}
			defer l.close()
			for n := 1; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				if _, err := l.publish(fmt.Sprintf("ruling.busy%d", i), n, "a ruling of twenty bytes", 1500*time.Millisecond); err != nil {
					return
				}
			}
		})
	}
	clients.Wait()
}

// desk is a publisher that does as the pages say: after a cut or UNKNOWN the same number
// again, after RETRY a new one.
type desk struct {
	cluster   *cluster
	addresses []string
	next      int // address
	number    int
	conn      *lineClient
}

func (d *desk) connect() bool {
	for range 10 {
		l, err := d.cluster.dialLine("desk", d.addresses[d.next%len(d.addresses)])
		if err == nil {
			d.conn = l
			return true
		}
		d.next++
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func (d *desk) publish(body string) {
	r := d.cluster.record
	deadline := time.Now().Add(6 * time.Second) // as the pages have it for the rulings
	d.number++
	for time.Now().Before(deadline) {
		if d.conn == nil && !d.connect() {
			return
		}
		answer, err := d.conn.publish("ruling.terms", d.number, body, 1500*time.Millisecond)
		r.line("desk: number %d (%q): %s %v", d.number, body, answer, err)
		switch {
		case err != nil:
			d.conn.close()
			d.conn = nil
			d.next++
			time.Sleep(200 * time.Millisecond)
		case answer == "ACK":
			return
		case answer == "RETRY":
			d.number++
			time.Sleep(300 * time.Millisecond)
		default:
			time.Sleep(100 * time.Millisecond)
		}
	}
}
