package cluster

import (
	"os"
	"slices"
	"sync"
	"syscall"
)

// signalSource simulates the signal handling of the operating system for one process.
// A signal without a registered receiver takes its default action.
type signalSource struct {
	defaultAction  func() // ends the process
	releasesSIGHUP bool   // injected fault: SIGHUP is reset to its default action by the first SIGTERM

	mu         sync.Mutex
	registered []signalRegistration
	terminated bool // SIGTERM was sent
}

type signalRegistration struct {
	receiver chan<- os.Signal
	signals  []os.Signal
}

// Notify relays signals to c.
func (s *signalSource) Notify(c chan<- os.Signal, signals ...os.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registered = append(s.registered, signalRegistration{c, signals})
}

// send delivers a signal to the process.
func (s *signalSource) send(sent os.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	handled := false
	for _, r := range s.registered {
		if !slices.Contains(r.signals, sent) {
			continue
		}
		handled = true
		select {
		case r.receiver <- sent:
		default: // the receiver's buffer is full: dropped, as by package os/signal
		}
	}
	if !handled {
		go s.defaultAction()
	}
	if sent == syscall.SIGTERM {
		s.terminated = true
		if s.releasesSIGHUP {
			s.releaseLocked(syscall.SIGHUP)
		}
	}
}

func (s *signalSource) isTerminated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.terminated
}

// releaseLocked resets a signal to its default action.
func (s *signalSource) releaseLocked(released os.Signal) {
	for i, r := range s.registered {
		s.registered[i].signals = slices.DeleteFunc(slices.Clone(r.signals), func(o os.Signal) bool { return o == released })
	}
}
