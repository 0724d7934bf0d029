package cluster

import (
	"os"
	"slices"
	"sync"
	"syscall"
)

// signalSource is the operating system of one simulated process, as far as its
// signals go: one that nobody is registered for takes its default action.
type signalSource struct {
	defaultAction  func() // ends the process
	releasesSIGHUP bool   // a planted fault: SIGHUP is given back with the first SIGTERM

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

// send gives the process a signal.
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
		default: // as the operating system drops one that is pending already
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

// releaseLocked takes the default action for a signal from now on.
func (s *signalSource) releaseLocked(released os.Signal) {
	for i, r := range s.registered {
		s.registered[i].signals = slices.DeleteFunc(slices.Clone(r.signals), func(o os.Signal) bool { return o == released })
	}
}
