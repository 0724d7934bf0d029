package boltstore

import (
	"context"
	"errors"
	"time"
)

// Damaged returns a channel that is closed once the file has been found damaged
// while in use and moved aside.
func (f *File) Damaged() <-chan struct{} {
	f.init()
	return f.damaged
}

// fail makes all further calls fail with err, since memory and disk may differ.
func (f *File) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return
	}
	f.err = err
	if errors.Is(err, ErrDamaged) {
		f.moveAsideLocked()
		return
	}
	if markerErr := removeMarker(f.Path); markerErr != nil {
		f.Warn("disk: %v", markerErr)
	}
	f.Warn("disk: %s refuses writes: %v", f.Path, err)
	select {
	case f.failed <- struct{}{}:
	default:
	}
}

// moveAsideLocked moves the damaged file aside and closes the channel of Damaged. f.mu
// is held, and f.err describes the damage.
func (f *File) moveAsideLocked() {
	aside, moveErr := moveAside(f.Path)
	f.Warn("disk: %s is damaged, moved to %s: %v", f.Path, aside, errors.Join(f.err, moveErr))
	close(f.damaged)
}

// Recover reopens the file after failed writes, until ctx ends or the file is found
// damaged. It retries at intervals of retryInterval.
func (f *File) Recover(ctx context.Context, retryInterval time.Duration) {
	f.init()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.failed:
		}
		if !f.recoverOnce(ctx, retryInterval) {
			return
		}
	}
}

// recoverOnce retries until the file accepts writes again. It returns false if ctx
// has ended or the file is damaged.
func (f *File) recoverOnce(ctx context.Context, retryInterval time.Duration) bool {
	for {
		err := f.open(true)
		if err == nil {
			f.Warn("disk: %s takes writes again", f.Path)
			return true
		}
		if errors.Is(err, ErrDamaged) {
			f.mu.Lock()
			f.err = err
			f.moveAsideLocked()
			f.mu.Unlock()
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryInterval):
		}
	}
}

// closeDatabaseLocked closes the database, or only its file handle if that is not
// possible: after a panic, bbolt may hold its locks forever, and the file stays mapped
// until the process ends. f.databaseMu is held exclusively.
func (f *File) closeDatabaseLocked() {
	if f.database == nil {
		return
	}
	if errors.Is(f.Err(), ErrDamaged) || detectDamage(f.Path, f.database.Close) != nil {
		_ = f.handle.Close() // no writes that the error could affect
	}
	f.database = nil
}
