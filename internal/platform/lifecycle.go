package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log"
	"time"

	"saltreel/internal/settings"
)

// Process is a role that runs as a process.
type Process interface {
	// Run serves until ctx is canceled, answers the requests read by then, and returns.
	Run(ctx context.Context) error
	// Reload applies the settings that can change at run time.
	Reload(*settings.Settings)
}

// Start opens the state of a process. It may block on the disk; it returns the
// error of ctx once ctx is canceled.
type Start func(ctx context.Context, set *settings.Settings, logger *log.Logger) (Process, error)

// Lifecycle runs the process of a role from start to exit. It is the only owner
// of the process's signals and settings file until the process exits: a signal
// starts the shutdown, and none interrupts it. lifecycleState defines the effect
// of each signal in each phase.
type Lifecycle struct {
	Role    string
	Signals Signals
	// ReadSettings reads the settings file.
	ReadSettings func() ([]byte, error)
	Start        Start
	Log          *log.Logger

	state    lifecycleState // used only by the goroutine of Run
	lastRead []byte         // the content of the settings file that was last applied or logged as not applied
	process  Process        // nil until it has started
}

// NewLifecycle returns a Lifecycle that reads the settings file named by
// PathVariable.
func NewLifecycle(role string, signals Signals, start Start, logger *log.Logger) (*Lifecycle, error) {
	if role == "" || signals == nil || start == nil || logger == nil {
		return nil, errors.New("platform: the lifecycle of a process requires a role, signals, a start function and a logger")
	}
	return &Lifecycle{Role: role, Signals: signals, ReadSettings: readSettingsFile, Start: start, Log: logger}, nil
}

// outcome is the result of starting or of running a process.
type outcome struct {
	process Process // set by the start only
	err     error
}

// Run reads the settings, starts the process, and returns when the process has
// ended. If it is stopped while starting, Run returns no error, since the process
// has not accepted any request yet.
func (l *Lifecycle) Run() error {
	raw, err := l.ReadSettings()
	if err != nil {
		return settingsError{err}
	}
	set, err := parseSettings(raw, l.Role)
	if err != nil {
		return settingsError{err}
	}
	l.lastRead = raw
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	started, err := l.start(ctx, cancel, set)
	if err != nil || started == nil {
		return err
	}
	done := make(chan outcome, 1)
	go func() { done <- outcome{err: started.Run(ctx)} }()
	l.process = started
	l.perform(l.state.step(eventStarted), cancel)
	last := l.handleEventsUntil(done, settingsPollInterval(set), cancel, nil)
	if last.err != nil {
		return fmt.Errorf("%s: %w", l.Role, last.err)
	}
	return nil
}

// start opens the state. It returns a nil process if it was stopped before the state
// was open.
func (l *Lifecycle) start(ctx context.Context, cancel context.CancelFunc, set *settings.Settings) (Process, error) {
	done := make(chan outcome, 1)
	go func() {
		process, err := l.Start(ctx, set, l.Log)
		done <- outcome{process, err}
	}()
	// An unresponsive disk may block the start indefinitely.
	last := l.handleEventsUntil(done, settingsPollInterval(set), cancel, func() <-chan time.Time { return time.After(startAbortTimeout(set)) })
	if l.state.phase == draining && (last.err != nil || last.process == nil) {
		l.Log.Printf("platform: stopped while starting")
		return nil, nil
	}
	if last.err != nil {
		return nil, fmt.Errorf("%s: start: %w", l.Role, last.err)
	}
	return last.process, nil
}

// handleEventsUntil handles signals and changes of the settings file until done
// delivers an outcome. Once the process is draining, it waits no longer than the
// timer that newAbortTimer starts; nil means no bound.
func (l *Lifecycle) handleEventsUntil(done <-chan outcome, interval time.Duration, cancel context.CancelFunc, newAbortTimer func() <-chan time.Time) outcome {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var abort <-chan time.Time
	for {
		select {
		case r := <-done:
			return r
		case s := <-l.Signals:
			if e, ok := eventOf(s); ok {
				l.perform(l.state.step(e), cancel)
			}
		case <-ticker.C:
			if l.settingsChanged() {
				l.perform(l.state.step(eventSettingsChange), cancel)
			}
		case <-abort:
			return outcome{}
		}
		if newAbortTimer != nil && abort == nil && l.state.phase == draining {
			abort = newAbortTimer()
		}
	}
}

// perform carries out an action of the state machine.
func (l *Lifecycle) perform(a action, cancel context.CancelFunc) {
	switch a {
	case actionNone:
	case actionDrain:
		l.Log.Printf("platform: stopping")
		cancel()
	case actionApplySettings:
		l.applySettings()
	case actionPostponeReload:
		l.Log.Printf("platform: settings reload postponed until the process has started")
		l.rememberSettings()
	case actionIgnoreReload:
		l.Log.Printf("platform: the settings are not read again: the process is stopping")
		l.rememberSettings()
	case actionIgnoreStop:
		l.Log.Printf("platform: stopping already")
	}
}

// settingsChanged reports whether the content of the settings file differs from
// what was last read. A file that cannot be read counts as unchanged, since it is
// probably being replaced.
func (l *Lifecycle) settingsChanged() bool {
	raw, err := l.ReadSettings()
	return err == nil && !bytes.Equal(raw, l.lastRead)
}

// rememberSettings records the content of the settings file without applying it, so
// that the same change is not logged again.
func (l *Lifecycle) rememberSettings() {
	if raw, err := l.ReadSettings(); err == nil {
		l.lastRead = raw
	}
}

// applySettings reads the settings file and applies it. If the file is invalid, it
// logs the error and keeps the current settings.
func (l *Lifecycle) applySettings() {
	raw, err := l.ReadSettings()
	if err != nil {
		l.Log.Printf("platform: the new settings are not applied: %v", err)
		return
	}
	l.lastRead = raw
	set, err := parseSettings(raw, l.Role)
	if err != nil {
		l.Log.Printf("platform: the new settings are not applied: %v", err)
		return
	}
	if l.process != nil {
		l.process.Reload(set)
	}
	l.Log.Printf("platform: settings read again")
}

// settingsPollInterval is how often the settings file is checked for changes.
func settingsPollInterval(set *settings.Settings) time.Duration { return set.ContactTimeout() / 4 }

// startAbortTimeout bounds how long a stopped start may take to return: it lets the
// start end cleanly on a working disk, and the process exit despite a hung one.
func startAbortTimeout(set *settings.Settings) time.Duration {
	return settings.Seconds(set.Timers.GraceS) / 8
}
