package platform

import (
	"context"
	"errors"
	"io"
	"log"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/settings"
)

// recordedProcess records how its lifecycle uses it.
type recordedProcess struct {
	drainTime time.Duration

	mu      sync.Mutex
	reloads []string // the zones of the settings that were applied
	ended   bool
}

func (p *recordedProcess) Run(ctx context.Context) error {
	<-ctx.Done()
	time.Sleep(p.drainTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	return nil
}

func (p *recordedProcess) Reload(set *settings.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reloads = append(p.reloads, set.Zone)
}

func (p *recordedProcess) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *recordedProcess) reloadCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.reloads)
}

// lifecycleTest is a Lifecycle whose signals and settings file the test controls.
type lifecycleTest struct {
	*Lifecycle
	signals chan os.Signal

	mu   sync.Mutex
	file string
}

func newLifecycleTest(t *testing.T, start Start) *lifecycleTest {
	t.Helper()
	test := &lifecycleTest{signals: make(chan os.Signal, signalBuffer), file: validSettings + "data-path=/data\n"}
	lifecycle, err := NewLifecycle("store", test.signals, start, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	lifecycle.ReadSettings = func() ([]byte, error) {
		test.mu.Lock()
		defer test.mu.Unlock()
		return []byte(test.file), nil
	}
	test.Lifecycle = lifecycle
	return test
}

// write appends lines to the settings file; a later line overrides an earlier one.
func (l *lifecycleTest) write(extra string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.file += extra
}

func TestSettingsAreAppliedOnceStartedAndNotWhileDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		process := &recordedProcess{drainTime: 3 * time.Second}
		l := newLifecycleTest(t, func(context.Context, *settings.Settings, *log.Logger) (Process, error) {
			time.Sleep(2 * time.Second) // a slow disk
			return process, nil
		})
		ended := make(chan error, 1)
		go func() { ended <- l.Run() }()
		l.signals <- syscall.SIGHUP
		l.write("zone=starting\n")
		time.Sleep(1900 * time.Millisecond)
		if n := process.reloadCount(); n != 0 {
			t.Errorf("%d reloads before the process has started", n)
		}
		time.Sleep(200 * time.Millisecond)
		if n := process.reloadCount(); n != 1 {
			t.Errorf("%d reloads once it has started, not 1", n)
		}
		l.write("zone=running\n") // without a signal
		time.Sleep(2 * time.Second)
		l.write("timers.contact-ms=soon\n") // invalid: the current settings stay in force
		l.signals <- syscall.SIGHUP
		l.signals <- syscall.SIGPIPE
		time.Sleep(2 * time.Second)
		l.signals <- syscall.SIGTERM
		time.Sleep(time.Second)
		l.write("timers.contact-ms=4000\nzone=draining\n")
		l.signals <- syscall.SIGHUP
		l.signals <- syscall.SIGTERM
		synctest.Wait()
		if process.hasEnded() {
			t.Error("the process ended before it has drained")
		}
		if err := <-ended; err != nil || !process.hasEnded() {
			t.Errorf("ended with %v, drained %v", err, process.hasEnded())
		}
		if want := []string{"starting", "running"}; len(process.reloads) != 2 || process.reloads[0] != want[0] || process.reloads[1] != want[1] {
			t.Errorf("settings applied: %q, not %q", process.reloads, want)
		}
	})
}

func TestStopWhileStartingEndsTheProcess(t *testing.T) {
	failed := errors.New("no such disk")
	for name, c := range map[string]struct {
		takes   time.Duration // by the start to return after the stop
		process Process
		err     error
		most    time.Duration
	}{
		"the start is canceled":          {0, nil, context.Canceled, 0},
		"the start fails after the stop": {0, nil, failed, 0},
		"the disk never answers":         {time.Hour, nil, failed, 750 * time.Millisecond},
		"the start succeeds at last":     {100 * time.Millisecond, &recordedProcess{}, nil, 100 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			l := newLifecycleTest(t, func(ctx context.Context, _ *settings.Settings, _ *log.Logger) (Process, error) {
				<-ctx.Done()
				time.Sleep(c.takes)
				return c.process, c.err
			})
			time.AfterFunc(time.Second, func() { l.signals <- syscall.SIGTERM })
			began := time.Now()
			if err := l.Run(); err != nil {
				t.Errorf("%s: ended with %v", name, err)
			}
			if took := time.Since(began) - time.Second; took > c.most {
				t.Errorf("%s: ended %v after the stop", name, took)
			}
			if p, ok := c.process.(*recordedProcess); ok && !p.hasEnded() {
				t.Errorf("%s: the process was not shut down gracefully", name)
			}
			time.Sleep(c.takes) // let the abandoned start return
		})
	}
}

func TestErrorsOfStartAndRunEndTheProcess(t *testing.T) {
	failed := errors.New("failed")
	for name, start := range map[string]Start{
		"start": func(context.Context, *settings.Settings, *log.Logger) (Process, error) { return nil, failed },
		"run": func(context.Context, *settings.Settings, *log.Logger) (Process, error) {
			return fakeProcess{failed}, nil
		},
	} {
		if err := newLifecycleTest(t, start).Run(); !errors.Is(err, failed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
