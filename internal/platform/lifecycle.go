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
	// Run serves until ctx ends, answers what it has read by then, and returns.
	Run(ctx context.Context) error
	// Reload applies the settings that may change while the process runs.
	Reload(*settings.Settings)
}

// Start opens the state of a process. It may take as long as the disk does, and
// gives up once ctx ends, with the error of ctx.
type Start func(ctx context.Context, set *settings.Settings, logger *log.Logger) (Process, error)

// Lifecycle runs one process of a role from its start to its end. It is the only
// owner of the process's signals and of its settings file, for its whole life:
// they start the end of a process, but nothing may cut that end short. What each
// signal does in each phase is in lifecycleState.
type Lifecycle struct {
	Role    string
	Signals Signals
	// ReadSettings reads the settings file.
	ReadSettings func() ([]byte, error)
	Start        Start
	Log          *log.Logger

	state    lifecycleState // of the goroutine of Run
	lastRead []byte         // the content of the settings file that was applied
	process  Process        // nil until it has started
}

// NewLifecycle makes the lifecycle of a process, whose settings file is the one
// that PathVariable names.
func NewLifecycle(role string, signals Signals, start Start, logger *log.Logger) (*Lifecycle, error) {
	if role == "" || signals == nil || start == nil || logger == nil {
		return nil, errors.New("platform: the lifecycle of a process needs a role, signals, a start and a log")
	}
	return &Lifecycle{Role: role, Signals: signals, ReadSettings: readSettingsFile, Start: start, Log: logger}, nil
}

// outcome is what a part of the process's life ended with.
type outcome struct {
	process Process // of the start
	err     error
}

// Run reads the settings, starts the process, serves, and returns when the
// process has ended. A process that is stopped while it starts ends without an
// error: it holds no requests yet.
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

// start opens the state. It returns no process if it was stopped meanwhile.
func (l *Lifecycle) start(ctx context.Context, cancel context.CancelFunc, set *settings.Settings) (Process, error) {
	done := make(chan outcome, 1)
	go func() {
		process, err := l.Start(ctx, set, l.Log)
		done <- outcome{process, err}
	}()
	// A disk that does not answer may hold the start for ever.
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

// handleEventsUntil handles signals and changes of the settings file until a part of the
// process's life is over. Once the process is to stop, that may take as long as
// giveUp says; nil is without a bound.
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

// perform does what the state machine asks for.
func (l *Lifecycle) perform(a action, cancel context.CancelFunc) {
	switch a {
	case actionNone:
	case actionDrain:
		l.Log.Printf("platform: stopping")
		cancel()
	case actionApplySettings:
		l.applySettings()
	case actionPostponeReload:
		l.Log.Printf("platform: the settings are read again once started")
		l.rememberSettings() // logged once for each change
	case actionIgnoreReload:
		l.Log.Printf("platform: the settings are not read again: the process is stopping")
		l.rememberSettings() // logged once for each change
	case actionIgnoreStop:
		l.Log.Printf("platform: stopping already")
	}
}

// settingsChanged reports whether the settings file has another content than the
// one read last. A file that cannot be read is being replaced.
func (l *Lifecycle) settingsChanged() bool {
	raw, err := l.ReadSettings()
	return err == nil && !bytes.Equal(raw, l.lastRead)
}

func (l *Lifecycle) rememberSettings() {
	if raw, err := l.ReadSettings(); err == nil {
		l.lastRead = raw
	}
}

// applySettings reads the file and applies it. If it is wrong, that is logged and
// the old settings stay in force.
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

// settingsPollInterval is the time between two looks at the settings file.
func settingsPollInterval(set *settings.Settings) time.Duration { return set.Contact() / 4 }

// startAbortTimeout is how long a start that was stopped may go on: a disk that
// answers lets it end in order, one that does not must not hold the process.
func startAbortTimeout(set *settings.Settings) time.Duration {
	return settings.Seconds(set.Timers.GraceS) / 8
}
