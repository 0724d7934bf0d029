// Package timeutil holds what the standard library lacks about time.
package timeutil

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) { SleepUntil(ctx, d, nil) }

// SleepUntil waits for d, or until ctx ends or wake is closed or has a value.
func SleepUntil(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// Repeat calls f in each interval, until ctx ends.
func Repeat(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
