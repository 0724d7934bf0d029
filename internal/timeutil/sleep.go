// Package timeutil holds helpers for time that the standard library lacks.
package timeutil

import (
	"context"
	"time"
)

// Pause waits for a while, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
