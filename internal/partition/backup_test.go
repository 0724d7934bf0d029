package partition

import (
	"context"
	"errors"
	"testing"
	"time"
)

func TestBackupRejectsOlderEpochsAndFollowsNewerOnes(t *testing.T) {
	m := startBackup(t)
	for _, c := range []struct {
		from  string
		epoch int64
		stale bool
	}{
		{"other", 4, true},
		{"third", 5, true},
		{"other", 5, false},
		{"third", 7, false},
		{"other", 5, true},
		{"third", 7, false},
	} {
		out, err := m.HandleBatch(t.Context(), &BatchRequest{From: c.from, Partitions: []PartitionBatch{{Partition: 0, Epoch: c.epoch, Records: []*Record{{ID: "x", Epoch: c.epoch, Sequence: 1}}}}}, nil)
		if err != nil || len(out.Partitions) != 1 || out.Partitions[0].Stale != c.stale {
			t.Errorf("%+v: %+v %v", c, out, err)
		}
	}
	var notPrimary *NotPrimaryError
	if err := m.Accept(t.Context(), 0, &Record{ID: "y"}); !errors.As(err, &notPrimary) || StatusCode(err) != 421 {
		t.Errorf("a backup accepts messages: %v", err)
	}
	if m.MayDeliver(0) {
		t.Error("a backup delivers")
	}
}

// A message that a checksum covers may be answered with 202. A backup must therefore not
// answer any primary while a record that the checksum covers is only in memory.
func TestBackupAcknowledgesOnlyRecordsOnDisk(t *testing.T) {
	m := startBackup(t)
	resumeDisk := stallDisk(m.storage)
	handle := func(batch *BatchRequest, limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := m.HandleBatch(ctx, batch, nil)
		return err
	}
	if handle(&BatchRequest{From: "other", Partitions: []PartitionBatch{{Epoch: 5, Records: []*Record{{ID: "x", Epoch: 5, Sequence: 1}}}}}, 50*time.Millisecond) == nil {
		t.Error("the backup acknowledged a message while its disk is stalled")
	}
	next := &BatchRequest{From: "third", Partitions: []PartitionBatch{{Epoch: 6}}}
	if handle(next, 50*time.Millisecond) == nil {
		t.Error("the next primary got a checksum that covers a message that is not on disk")
	}
	resumeDisk()
	if err := handle(next, time.Minute); err != nil { // generous limit, since this is a real disk on a possibly busy machine
		t.Errorf("after the disk has recovered: %v", err)
	}
}

func TestBackupShiftsTimesToItsOwnClock(t *testing.T) {
	m := startBackup(t)
	hour := time.Hour.Milliseconds()
	now := m.Now()
	_, err := m.HandleBatch(t.Context(), &BatchRequest{From: "other", Now: now + hour, Partitions: []PartitionBatch{{Epoch: 5, Records: []*Record{{ID: "x", Sequence: 1, Due: now + hour + 2000, Expires: now + hour + 90000}}}}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	r := m.partitions[0].records.byID["x"]
	if d := r.Due - now; d < 1900 || d > 3000 {
		t.Errorf("due in %d ms, want 2000, with the sender's clock one hour ahead", d)
	}
	if d := r.Expires - now; d < 89000 || d > 91000 {
		t.Errorf("expires in %d ms, want 90000", d)
	}
}

func TestBackupRefusesATruncatedBatch(t *testing.T) {
	m := startBackup(t)
	batch := &BatchRequest{From: "other", Partitions: []PartitionBatch{{Epoch: 5, Records: []*Record{{ID: "x", Sequence: 1, Length: 3}}}}}
	if _, err := m.HandleBatch(t.Context(), batch, []byte("ab")); !errors.Is(err, ErrTruncatedBatch) {
		t.Errorf("body of two bytes instead of three: %v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.partitions[0].records.count != 0 {
		t.Error("the record was stored")
	}
}

// A store that returns under its old name with an empty disk has none of the records that
// the placement assumes there, so its responses must not count as confirmations.
func TestBackupRefusesBatchesForAnotherDisk(t *testing.T) {
	m := startBackup(t)
	for _, c := range []struct {
		name, disk string
		epoch      int64
		stale      bool
	}{
		{"the previous disk, a newer epoch", "another", 6, true},
		{"the previous disk, the same epoch", "another", 5, true},
		{"this disk", m.DiskID(), 6, false},
		{"no disk named, as by a sender of an earlier version", "", 7, false},
	} {
		batch := &BatchRequest{From: "third", Disk: c.disk, Partitions: []PartitionBatch{{Epoch: c.epoch, Records: []*Record{{ID: c.name, Sequence: 1}}}}}
		response, err := m.HandleBatch(t.Context(), batch, nil)
		if err != nil || len(response.Partitions) != 1 || response.Partitions[0].Stale != c.stale {
			t.Fatalf("%s: %+v %v", c.name, response, err)
		}
		m.mu.Lock()
		p := m.partitions[0]
		if stored := p.records.byID[c.name] != nil; stored == c.stale || c.stale && p.epoch != 5 {
			t.Errorf("%s: stored %v, epoch %d", c.name, stored, p.epoch)
		}
		m.mu.Unlock()
	}
}
