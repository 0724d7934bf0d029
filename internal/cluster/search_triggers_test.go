package cluster

// Faults that are triggered by a message between cores or by an acknowledgement
// to a client.

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// trigger is a step whose fault is injected when a message is sent.
type trigger struct {
	step
	remaining int // number of matching messages until the fault is injected
}

// interceptRequest is called for each request before it is sent. For requests of
// cores it fires the matching triggers and lets a planted fault modify the request
// or answer it in place of the receiver.
func (s *simulation) interceptRequest(from *process, to string, raw []byte) (out, answer []byte) {
	head, body, ok := bytes.Cut(raw, []byte("\r\n\r\n"))
	requestLine := strings.SplitN(string(head[:min(len(head), 64)]), " ", 3)
	if !ok || from.exempt || len(requestLine) < 3 || from.ip == clientIP {
		return raw, nil
	}
	ip, _, _ := strings.Cut(to, ":")
	s.fireTriggers(requestLine[1], body, from.ip, ip)
	if s.fault.interceptRequest == nil {
		return raw, nil
	}
	changed, answer := s.fault.interceptRequest(s, from.ip, ip, requestLine[1], body)
	header := strings.Split(string(head), "\r\n")
	if answer != nil {
		call := "" // a response must repeat the Call field of its request
		for _, field := range header {
			if strings.HasPrefix(field, "Call:") {
				call = field + "\r\n"
			}
		}
		return nil, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", call, len(answer), answer)
	}
	if changed == nil {
		return raw, nil
	}
	for i, field := range header {
		if strings.HasPrefix(field, "Content-Length:") {
			header[i] = "Content-Length: " + strconv.Itoa(len(changed))
		}
	}
	return append([]byte(strings.Join(header, "\r\n")+"\r\n\r\n"), changed...), nil
}

// fireTriggers injects the faults armed for a message that is about to be sent.
func (s *simulation) fireTriggers(path string, body []byte, from, to string) {
	s.mu.Lock()
	var due []step
	s.armedTriggers = slices.DeleteFunc(s.armedTriggers, func(t *trigger) bool {
		if m := triggerMessages[t.Trigger.Message]; m.path != path || !bytes.Contains(body, []byte(m.bodyText)) {
			return false
		}
		t.remaining--
		if t.remaining == 0 {
			due = append(due, t.step)
		}
		return t.remaining == 0
	})
	s.mu.Unlock()
	for _, x := range due {
		fault := triggeredFaults[x.Trigger.Fault].name
		for _, l := range s.affectedLinks(fault, from, to, x.A) {
			// Before the message is sent, so that the fault applies to it.
			s.breakLink(l)
			s.endFaultAfter(x.DurationMs, func() { s.restoreLink(l) })
		}
		s.endFaultAfter(x.Trigger.DelayMs, func() { s.inject(fault, x.DurationMs, from, to) })
	}
}

func (s *simulation) breakLink(l link) {
	if l.hold {
		s.world.network.hold(l.from, l.to)
	} else {
		s.adjustBlocks(1, []string{l.from}, []string{l.to})
	}
}

func (s *simulation) restoreLink(l link) {
	if l.hold {
		s.world.network.release(l.from, l.to)
	} else {
		s.adjustBlocks(-1, []string{l.from}, []string{l.to})
	}
}

// link is a directed link between two machines that a triggered fault holds or
// blocks.
type link struct {
	from, to string
	hold     bool
}

// affectedLinks returns the links that a triggered fault blocks or holds.
func (s *simulation) affectedLinks(fault, from, to string, n int) (out []link) {
	addLinksOf := func(ip string, hold bool) {
		for _, o := range s.peersOf(ip, n) {
			out = append(out, link{ip, o, hold}, link{o, ip, hold})
		}
	}
	switch fault {
	case "hold the link":
		out = append(out, link{from, to, true})
	case "hold the answers":
		out = append(out, link{to, from, true})
	case "lose the link":
		out = append(out, link{from, to, false})
	case "cut off the sender", "cut off the sender and kill the receiver":
		addLinksOf(from, false)
	case "cut off the receiver", "cut off the receiver and kill the sender":
		addLinksOf(to, false)
	case "freeze the sender":
		addLinksOf(from, true)
	case "freeze the receiver":
		addLinksOf(to, true)
	}
	return out
}

// inject starts the part of a triggered fault that concerns machines or
// connections; affectedLinks is the part that concerns links.
func (s *simulation) inject(fault string, ms int, from, to string) {
	machinesAt := func(ip string) (out []*machine) {
		for _, m := range s.cores {
			if m.ip == ip {
				out = append(out, m)
			}
		}
		return out
	}
	s.mu.Lock()
	// A disk may be lost only if all cores are available again: no other fault is
	// active, and the last one ended more than syncTime ago.
	mayWipe := s.activeFaults <= 1 && time.Since(s.lastFaultEnd) > syncTime && time.Since(s.startedAt) > syncTime
	s.logLocked("triggered fault: %s, message from %s to %s, for %d ms", fault, from, to, ms)
	s.mu.Unlock()
	switch fault {
	case "reset":
		s.world.network.reset(from, to)
	case "kill the sender":
		s.crash(ms, false, machinesAt(from)...)
	case "kill the receiver":
		s.crash(ms, false, machinesAt(to)...)
	case "cut off the sender and kill the receiver":
		s.crash(100, false, machinesAt(to)...)
	case "cut off the receiver and kill the sender":
		s.crash(100, false, machinesAt(from)...)
	case "kill all":
		s.crash(ms, false, s.cores...)
	case "power":
		s.crash(ms, true, s.cores...)
	case "wipe the sender", "power, wipe the sender":
		m := machinesAt(from)
		if !mayWipe || len(m) == 0 {
			return
		}
		if fault == "wipe the sender" {
			s.crash(ms, false, m...)
		} else {
			s.crash(ms, true, s.cores...)
		}
		s.wipeDisk(m[0])
	}
}
