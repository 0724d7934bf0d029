// Package timeutil provides waits and periodic calls that end with a context.
package timeutil

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) { SleepUntil(ctx, d, nil) }

// SleepUntil waits for d, or until ctx ends, or until wake is closed or delivers a value.
func SleepUntil(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// Repeat calls f once per interval, until ctx ends. The first call is after one interval.
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
