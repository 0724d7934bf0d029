package node

import (
	"context"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/journal"
	"saltreel/internal/placement"
)

// configurationView holds the newest configuration and placement that this node
// knows, maintained from the events of its journal.
type configurationView struct {
	log          *log.Logger
	pollInterval time.Duration // of WaitForPlacement

	table     atomic.Pointer[configuration.Table]
	placement atomic.Pointer[placement.Placement]

	mu               sync.Mutex
	placementChanged chan struct{} // closed and replaced with each new placement
}

func newConfigurationView(logger *log.Logger, pollInterval time.Duration) configurationView {
	return configurationView{log: logger, pollInterval: pollInterval, placementChanged: make(chan struct{})}
}

// applyEvent applies one event of the journal. A configuration that cannot be parsed
// is logged, and the previous one stays in force.
func (v *configurationView) applyEvent(e journal.Event) {
	switch e.Key {
	case distribution.KeyConfiguration:
		c, err := configuration.Parse(journal.Decode[[]byte](e))
		if err != nil {
			v.log.Printf("configuration: revision %d is ignored: %v", e.Version.Major, err)
			return
		}
		v.table.Store(configuration.NewTable(c))
		v.log.Printf("configuration: revision %d is in force", c.Revision)
	case distribution.KeyPlacement:
		p := journal.Decode[placement.Placement](e)
		v.placement.Store(&p)
		v.notifyPlacementChanged()
	}
}

func (v *configurationView) notifyPlacementChanged() {
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.placementChanged)
	v.placementChanged = make(chan struct{})
}

// Table returns the newest known configuration; nil before the first one.
func (v *configurationView) Table() *configuration.Table { return v.table.Load() }

// Placement returns the newest known placement; nil before the first one.
func (v *configurationView) Placement() *placement.Placement { return v.placement.Load() }

// PlacementChanged returns a channel that is closed when the next placement arrives.
// A caller that reads the placement before it gets the channel may miss a placement
// in between, so it must bound its wait.
func (v *configurationView) PlacementChanged() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.placementChanged
}

// WaitForPlacement waits until a configuration and a placement are known, at most for
// timeout, and reports whether they are.
func (v *configurationView) WaitForPlacement(ctx context.Context, timeout time.Duration) bool {
	if v.complete() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(v.pollInterval)
	defer ticker.Stop()
	for !v.complete() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (v *configurationView) complete() bool { return v.Table() != nil && v.Placement() != nil }
