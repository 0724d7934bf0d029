package cluster

// The faults that wait for a message between cores, or for what a client was
// acknowledged, and strike there.

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// trap waits for a message.
type trap struct {
	step
	left int
}

// request sees each request between processes before it is sent.
func (s *search) request(from *process, to string, raw []byte) (out, answer []byte) {
	head, body, ok := bytes.Cut(raw, []byte("\r\n\r\n"))
	words := strings.SplitN(string(head[:min(len(head), 64)]), " ", 3)
	if !ok || from.free || len(words) < 3 || from.ip == outside {
		return raw, nil
	}
	ip, _, _ := strings.Cut(to, ":")
	s.spring(words[1], body, from.ip, ip)
	if s.plant.request == nil {
		return raw, nil
	}
	changed, answer := s.plant.request(s, from.ip, ip, words[1], body)
	lines := strings.Split(string(head), "\r\n")
	if answer != nil {
		call := "" // an answer repeats the name of its call
		for _, l := range lines {
			if strings.HasPrefix(l, "Call:") {
				call = l + "\r\n"
			}
		}
		return nil, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", call, len(answer), answer)
	}
	if changed == nil {
		return raw, nil
	}
	for i, l := range lines {
		if strings.HasPrefix(l, "Content-Length:") {
			lines[i] = "Content-Length: " + strconv.Itoa(len(changed))
		}
	}
	return append([]byte(strings.Join(lines, "\r\n")+"\r\n\r\n"), changed...), nil
}

// spring lets the traps strike that wait for a message.
func (s *search) spring(path string, body []byte, from, to string) {
	s.mu.Lock()
	var due []step
	s.armed = slices.DeleteFunc(s.armed, func(t *trap) bool {
		if m := messages[t.On.Message]; m.path != path || !bytes.Contains(body, []byte(m.words)) {
			return false
		}
		t.left--
		if t.left == 0 {
			due = append(due, t.step)
		}
		return t.left == 0
	})
	s.mu.Unlock()
	for _, x := range due {
		what := strikes[x.On.Strike].name
		for _, l := range s.struck(what, from, to, x.A) {
			// These strike before the message is sent.
			if l.hold {
				s.w.net.hold(l.from, l.to)
			} else {
				s.links(1, []string{l.from}, []string{l.to})
			}
			s.later(x.For, func() {
				if l.hold {
					s.w.net.release(l.from, l.to)
				} else {
					s.links(-1, []string{l.from}, []string{l.to})
				}
			})
		}
		s.later(x.On.Lag, func() { s.strike(what, x.For, from, to) })
	}
}

// link is a way from one machine to another that is cut or held.
type link struct {
	from, to string
	hold     bool
}

// struck are the links that a strike cuts or holds.
func (s *search) struck(what, from, to string, n int) (out []link) {
	around := func(ip string, hold bool) {
		for _, o := range s.rest(ip, n) {
			out = append(out, link{ip, o, hold}, link{o, ip, hold})
		}
	}
	switch what {
	case "hold the link":
		out = append(out, link{from, to, true})
	case "hold the answers":
		out = append(out, link{to, from, true})
	case "lose the link":
		out = append(out, link{from, to, false})
	case "cut off the sender", "cut off the sender and kill the receiver":
		around(from, false)
	case "cut off the receiver", "cut off the receiver and kill the sender":
		around(to, false)
	case "freeze the sender":
		around(from, true)
	case "freeze the receiver":
		around(to, true)
	}
	return out
}

func (s *search) strike(what string, ms int, from, to string) {
	at := func(ip string) (out []*machine) {
		for _, m := range s.cores {
			if m.ip == ip {
				out = append(out, m)
			}
		}
		return out
	}
	s.mu.Lock()
	// A disk may be lost only where all has been calm for long enough.
	mayWipe := s.faults <= 1 && time.Since(s.calm) > syncTime && time.Since(s.began) > syncTime
	s.note("strikes: %s, from %s to %s, for %d ms", what, from, to, ms)
	s.mu.Unlock()
	switch what {
	case "reset":
		s.w.net.reset(from, to)
	case "kill the sender":
		s.down(ms, false, at(from)...)
	case "kill the receiver":
		s.down(ms, false, at(to)...)
	case "cut off the sender and kill the receiver":
		s.down(100, false, at(to)...)
	case "cut off the receiver and kill the sender":
		s.down(100, false, at(from)...)
	case "kill all":
		s.down(ms, false, s.cores...)
	case "power":
		s.down(ms, true, s.cores...)
	case "wipe the sender", "power, wipe the sender":
		m := at(from)
		if !mayWipe || len(m) == 0 {
			return
		}
		if what == "wipe the sender" {
			s.down(ms, false, m...)
		} else {
			s.down(ms, true, s.cores...)
		}
		s.wipe(m[0])
	}
}
