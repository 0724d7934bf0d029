package platform

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SignalSource delivers signals to a process. Tests replace it with one that
// simulates the operating system's default action for unregistered signals.
type SignalSource interface {
	// Notify registers c to receive the given signals.
	Notify(c chan<- os.Signal, signals ...os.Signal)
}

// handledSignals are the signals whose default action, terminating the process,
// never applies to a process of a role. SIGPIPE is included because the Go runtime
// otherwise terminates the process on a write to a standard error whose reader has
// gone.
var handledSignals = []os.Signal{syscall.SIGTERM, os.Interrupt, syscall.SIGHUP, syscall.SIGPIPE}

// signalBuffer is the capacity for signals that have not been received yet. The
// runtime drops signals that do not fit; repeats of a signal carry no information.
const signalBuffer = 64

// Signals delivers the signals sent to a process.
type Signals <-chan os.Signal

// CatchSignals registers for all signals that a process of a role handles. A
// program calls it first, since signals have their default action until then. A process
// of a role never unregisters them, so that no signal interrupts the shutdown.
func CatchSignals() Signals { return RegisterSignals(osSignals{}) }

// RegisterSignals is CatchSignals for a given source.
func RegisterSignals(source SignalSource) Signals {
	c := make(chan os.Signal, signalBuffer)
	source.Notify(c, handledSignals...)
	return c
}

// StopContext returns a context that is canceled on SIGTERM or SIGINT.
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

// osSignals is the SignalSource of the operating system.
type osSignals struct{}

func (osSignals) Notify(c chan<- os.Signal, signals ...os.Signal) { signal.Notify(c, signals...) }

// eventOf returns the event for a signal; ok is false if the signal has no effect.
func eventOf(s os.Signal) (e event, ok bool) {
	switch s {
	case syscall.SIGTERM, os.Interrupt:
		return eventStop, true
	case syscall.SIGHUP:
		return eventReload, true
	}
	return 0, false
}
