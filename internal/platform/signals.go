package platform

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SignalSource is where a process gets its signals from. Tests replace it by one
// that takes the default action of the operating system for each signal that
// nobody is registered for.
type SignalSource interface {
	// Notify relays the signals to c from now on.
	Notify(c chan<- os.Signal, signals ...os.Signal)
}

// handledSignals are those that a process of a role never leaves to their
// default action, which ends the process. SIGPIPE is among them for a write to a
// standard error that nobody reads any more: the Go runtime lets it end the
// process unless somebody is registered for it.
var handledSignals = []os.Signal{syscall.SIGTERM, os.Interrupt, syscall.SIGHUP, syscall.SIGPIPE}

// signalBuffer holds the signals of a moment in which nobody receives. The
// runtime drops what does not fit; more of the same kind say nothing new.
const signalBuffer = 64

// Signals are the signals that a process gets.
type Signals <-chan os.Signal

// CatchSignals registers for all signals that a process of a role handles. It is
// the first thing that a program does: until then they have their default
// action. They are never given back: whatever remains to be done when a process
// ends must not be cut short by a signal.
func CatchSignals() Signals { return RegisterSignals(osSignals{}) }

// RegisterSignals is CatchSignals for any source.
func RegisterSignals(source SignalSource) Signals {
	c := make(chan os.Signal, signalBuffer)
	source.Notify(c, handledSignals...)
	return c
}

// StopContext returns a context that ends at SIGTERM or SIGINT.
func StopContext(signals Signals) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-signals:
				if e, ok := eventOf(s); ok && e == eventStop {
					cancel()
				}
			}
		}
	}()
	return ctx, cancel
}

// osSignals is the operating system as a SignalSource.
type osSignals struct{}

func (osSignals) Notify(c chan<- os.Signal, signals ...os.Signal) { signal.Notify(c, signals...) }

// eventOf is the event that a signal stands for; ok is false if it has no effect.
func eventOf(s os.Signal) (e event, ok bool) {
	switch s {
	case syscall.SIGTERM, os.Interrupt:
		return eventStop, true
	case syscall.SIGHUP:
		return eventReload, true
	}
	return 0, false
}
