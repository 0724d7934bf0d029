package partition

import (
	"context"
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/placement"
)

func TestAcceptRejections(t *testing.T) {
	m := startPrimary(t, placement.Backup{Store: "other"})
	m.mu.Lock()
	m.partitions[0].records.put(&Record{ID: "z", Tenant: "a"})
	m.mu.Unlock()
	if err := m.Accept(t.Context(), 0, &Record{ID: "z", Tenant: "b"}); !errors.Is(err, ErrIDConflict) || StatusCode(err) != 409 {
		t.Errorf("id of another tenant's message: %v", err)
	}
	m.storage.mu.Lock()
	m.storage.health.lastError = os.ErrClosed
	m.storage.mu.Unlock()
	if err := m.Accept(t.Context(), 0, &Record{ID: "y"}); !errors.Is(err, ErrDiskFailed) || StatusCode(err) != 421 {
		t.Errorf("a disk that refuses writes: %v", err)
	}
	m.storage.mu.Lock()
	m.storage.health.lastError = nil
	m.storage.mu.Unlock()
	m.mu.Lock()
	if m.partitions[0].records.byID["y"] != nil {
		t.Error("a message was stored although the disk refuses writes")
	}
	m.config.MaxMemory = 1
	m.usage.memoryBytes = 2
	m.measureUsageLocked(0)
	m.mu.Unlock()
	if err := m.Accept(t.Context(), 0, &Record{ID: "y"}); !errors.Is(err, ErrStoreFull) || StatusCode(err) != 503 {
		t.Errorf("a full store: %v", err)
	}
}

func TestAcceptNeedsEnoughBackups(t *testing.T) {
	m := startPrimary(t)
	m.mu.Lock()
	m.config.Backups = 1
	m.mu.Unlock()
	var tooFew *TooFewBackupsError
	if err := m.Accept(t.Context(), 0, &Record{ID: "x"}); !errors.As(err, &tooFew) || *tooFew != (TooFewBackupsError{0, 0, 1}) {
		t.Errorf("no backup: %v", err)
	}
}

// An accept that ends without a confirmation must report whether the message may have
// been stored.
func TestAcceptWithoutConfirmationSaysWhetherItMayBeStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startPrimary(t, placement.Backup{Store: "other"})
		accept := func(id string) error {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			return m.Accept(ctx, 0, &Record{ID: id})
		}
		var unconfirmed *UnconfirmedError
		for _, attempt := range []string{"first", "second"} {
			if err := accept("x"); !errors.As(err, &unconfirmed) {
				t.Errorf("%s accept without an answer from the backup: %v", attempt, err)
			}
		}
		m.mu.Lock()
		m.partitions[0].handover.acceptsStopped = true
		m.mu.Unlock()
		var notPrimary *NotPrimaryError
		if err := accept("y"); !errors.As(err, &notPrimary) {
			t.Errorf("during a handover: %v", err)
		}
		if err := accept("x"); !errors.As(err, &unconfirmed) {
			t.Errorf("during a handover, message already stored: %v", err)
		}
	})
}

// A stored message that has since been deleted has either ended or moved to another
// primary, so the accept must not claim that it was not stored.
func TestAcceptOfAMessageThatWasDeletedIsUnclear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startPrimary(t, placement.Backup{Store: "other"})
		accepted := make(chan error, 1)
		go func() { accepted <- m.Accept(t.Context(), 0, &Record{ID: "x"}) }()
		synctest.Wait()
		m.mu.Lock()
		p := m.partitions[0]
		delete(p.unconfirmed, "x")
		m.commitLocked(p, &Record{ID: "x", State: Deleted}, nil)
		m.config.Backups = 2 // a new message would be rejected
		p.notifyChanged()
		m.mu.Unlock()
		var unconfirmed *UnconfirmedError
		if err := <-accepted; !errors.As(err, &unconfirmed) {
			t.Errorf("got %v, want an UnconfirmedError", err)
		}
	})
}

func TestAcceptIsConfirmedByThisDiskAndAllBackups(t *testing.T) {
	accept := &pendingAccept{record: &Record{ID: "x"}}
	for name, c := range map[string]struct {
		local    bool
		disks    []string
		replicas []*replica
		backups  int
		waiting  bool
		want     bool
	}{
		"all disks":          {true, []string{"d1", "d2"}, []*replica{{disk: "d1"}, {disk: "d2"}}, 2, true, true},
		"not on this disk":   {false, []string{"d1"}, []*replica{{disk: "d1"}}, 1, true, false},
		"one backup missing": {true, []string{"d1"}, []*replica{{disk: "d1"}, {disk: "d2"}}, 1, true, false},
		"a replaced disk":    {true, []string{"d1"}, []*replica{{disk: "d9"}}, 1, true, false},
		"too few backups":    {true, []string{"d1"}, []*replica{{disk: "d1"}}, 2, true, false},
		"no backups needed":  {true, nil, nil, 0, true, true},
		"not pending":        {true, nil, nil, 0, false, false},
		"one backup removed": {true, []string{"d1", "d2"}, []*replica{{disk: "d1"}}, 1, true, true},
	} {
		accept.onLocalDisk, accept.onBackupDisk = c.local, map[string]bool{}
		for _, disk := range c.disks {
			accept.onBackupDisk[disk] = true
		}
		p := &partition{replicas: c.replicas, unconfirmed: map[string]*pendingAccept{}}
		if c.waiting {
			p.unconfirmed["x"] = accept
		}
		if got := p.isConfirmed(accept, c.backups); got != c.want {
			t.Errorf("%s: confirmed %v", name, got)
		}
	}
}

func TestUsageBounds(t *testing.T) {
	for _, c := range []struct {
		disk, memory, maxDisk, maxMemory int64
		want                             bool
	}{
		{0, 0, 0, 0, false},
		{9, 9, 0, 0, false},
		{9, 0, 9, 0, false},
		{10, 0, 9, 0, true},
		{0, 9, 0, 9, false},
		{0, 10, 0, 9, true},
		{0, 10, 9, 0, false},
	} {
		u := usage{memoryBytes: c.memory}
		if got := u.exceeds(c.disk, c.maxDisk, c.maxMemory); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
