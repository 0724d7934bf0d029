package node

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/journal"
	"saltreel/internal/placement"
)

// event returns a journal event in the form that the cores write.
func event(t *testing.T, key string, value any) journal.Event {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return journal.Event{Key: key, Value: raw}
}

func newTestView() *configurationView {
	v := newConfigurationView(log.New(io.Discard, "", 0), time.Millisecond)
	return &v
}

func TestPlacementEventClosesPlacementChanged(t *testing.T) {
	v := newTestView()
	before := v.PlacementChanged()
	v.applyEvent(event(t, distribution.KeyPlacement, placement.Placement{Version: 7}))
	select {
	case <-before:
	default:
		t.Error("the channel from before the placement is not closed")
	}
	select {
	case <-v.PlacementChanged():
		t.Error("the channel from after the placement is closed")
	default:
	}
	if p := v.Placement(); p == nil || p.Version != 7 {
		t.Errorf("placement %+v, want version 7", p)
	}
}

func TestUnreadableConfigurationIsIgnored(t *testing.T) {
	v := newTestView()
	current := &configuration.Table{}
	v.table.Store(current)
	v.applyEvent(event(t, distribution.KeyConfiguration, []byte("no configuration")))
	if v.Table() != current {
		t.Error("the configuration in force was replaced")
	}
}

func TestWaitForPlacement(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for _, test := range []struct {
		name                 string
		configured, assigned time.Duration // when each is known; 0: never
		waited               time.Duration
		known                bool
	}{
		{"none", 0, 0, timeout, false},
		{"configuration only", 10 * time.Millisecond, 0, timeout, false},
		{"placement only", 0, 10 * time.Millisecond, timeout, false},
		{"both", 10 * time.Millisecond, 20 * time.Millisecond, 20 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newTestView()
				if test.configured > 0 {
					time.AfterFunc(test.configured-time.Microsecond, func() { v.table.Store(&configuration.Table{}) })
				}
				if test.assigned > 0 {
					time.AfterFunc(test.assigned-time.Microsecond, func() { v.placement.Store(&placement.Placement{}) })
				}
				began := time.Now()
				if got := v.WaitForPlacement(context.Background(), timeout); got != test.known {
					t.Errorf("known %v, want %v", got, test.known)
				}
				if waited := time.Since(began); waited != test.waited {
					t.Errorf("waited %v, want %v", waited, test.waited)
				}
			})
		})
	}
}
