package partition

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/placement"
)

// responseTo returns the response of a backup that holds the same records as the primary
// did when it made the batch.
func responseTo(batch outgoingBatch) BatchResponse {
	var response BatchResponse
	for _, sent := range batch.sent {
		response.Partitions = append(response.Partitions, PartitionResult{
			Partition: sent.partition.number,
			Checksum:  sent.checksum,
			Count:     sent.count,
		})
	}
	return response
}

// nextBatch creates the next batch for the backup named "other". It retries, since a
// batch of the replicator itself, which fails at once, may be in flight.
func nextBatch(t *testing.T, m *Manager, number int64) outgoingBatch {
	t.Helper()
	for range 1000 {
		if batch := m.makeBatch("other", number); len(batch.sent) > 0 {
			return batch
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("there is nothing to send")
	return outgoingBatch{}
}

// exchange simulates an exchange of the next batch with the backup named "other". change
// may modify the response. It returns the resulting state of the replica.
func exchange(t *testing.T, m *Manager, change func(result *PartitionResult)) replica {
	t.Helper()
	batch := nextBatch(t, m, 0)
	if len(batch.sent) != 1 {
		t.Fatalf("%d partitions in the batch", len(batch.sent))
	}
	response := responseTo(batch)
	if change != nil {
		change(&response.Partitions[0])
	}
	m.handleResponse(&replicator{manager: m, peer: "other", wakeup: make(chan struct{}, 1)}, time.Now(), 0, batch.sent, response)
	m.mu.Lock()
	defer m.mu.Unlock()
	return *m.partitions[0].replicas[0]
}

func TestResponseGrantsLeaseAndConfirmsMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startPrimary(t, placement.Backup{Store: "other", InSync: true})
		time.Sleep(m.timing.lease()) // which this store may have granted before
		accepted := make(chan error, 1)
		go func() { accepted <- m.Accept(t.Context(), 0, &Record{ID: "x"}) }()
		synctest.Wait()
		if m.MayDeliver(0) {
			t.Error("delivers without a lease")
		}
		r := exchange(t, m, nil)
		if !r.connected || !r.verified || r.hasBacklog() || !r.leaseExpires.Equal(time.Now().Add(m.timing.lease())) {
			t.Errorf("%+v", r)
		}
		if err := <-accepted; err != nil {
			t.Errorf("not accepted: %v", err)
		}
		if !m.MayDeliver(0) {
			t.Error("does not deliver under the lease")
		}
		time.Sleep(m.timing.lease() - m.timing.deliveryMargin() - time.Nanosecond)
		if !m.MayDeliver(0) {
			t.Error("does not deliver before the margin of its lease")
		}
		time.Sleep(time.Nanosecond)
		if m.MayDeliver(0) {
			t.Error("starts a delivery within the margin of its lease")
		}
	})
}

func TestResponseOfANewerEpochEndsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startPrimary(t, placement.Backup{Store: "other", InSync: true})
		exchange(t, m, nil)
		time.Sleep(m.timing.leaseTick())
		r := exchange(t, m, func(result *PartitionResult) { result.Stale = true })
		if r.connected || !r.leaseExpires.IsZero() || m.MayDeliver(0) {
			t.Errorf("%+v", r)
		}
	})
}

func TestResponseToAnOlderEpochIsIgnored(t *testing.T) {
	m := startPrimary(t, placement.Backup{Store: "other", InSync: true})
	batch := nextBatch(t, m, 0)
	assign(m, 3, placement.Partition{Epoch: 7, Primary: "me", Backups: []placement.Backup{{Store: "other", InSync: true}}})
	m.handleResponse(&replicator{manager: m, peer: "other", wakeup: make(chan struct{}, 1)}, time.Now(), 0, batch.sent, responseTo(batch))
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.partitions[0].replicas[0]; r.connected || r.verified || !r.leaseExpires.IsZero() {
		t.Errorf("%+v", r)
	}
}

func TestResponseInAHandoverReleasesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startPrimary(t, placement.Backup{Store: "other", InSync: true})
		exchange(t, m, nil)
		m.mu.Lock()
		m.partitions[0].handover.acceptsStopped = true
		m.mu.Unlock()
		if r := exchange(t, m, nil); !r.leaseReleased || !r.leaseExpires.IsZero() {
			t.Errorf("%+v", r)
		}
		m.mu.Lock()
		m.partitions[0].resume()
		m.mu.Unlock()
		if r := exchange(t, m, nil); r.leaseReleased || r.leaseExpires.IsZero() {
			t.Errorf("after the handover: %+v", r)
		}
	})
}

func TestInSyncIsReportedOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startBackup(t)
		var reports []placement.InSyncReport
		m.config.ReportInSync = func(_ context.Context, in placement.InSyncReport) error {
			reports = append(reports, in)
			return nil
		}
		assign(m, 2, placement.Partition{Epoch: 6, Primary: "me", Backups: []placement.Backup{{Store: "other"}}})
		report := func(change func(result *PartitionResult)) int {
			t.Helper()
			exchange(t, m, change)
			synctest.Wait()
			return len(reports)
		}
		if n := report(func(result *PartitionResult) { result.Count++ }); n != 0 {
			t.Errorf("a backup that differs: %d reports", n)
		}
		time.Sleep(m.timing.lease())
		if n := report(nil); n != 1 || reports[0].Replicas[0] != (placement.Replica{Partition: 0, Epoch: 6, Store: "other"}) {
			t.Errorf("in sync: %+v", reports)
		}
		time.Sleep(m.timing.inSyncReportInterval())
		if n := report(nil); n != 1 {
			t.Errorf("again within the interval: %d reports", n)
		}
		time.Sleep(m.timing.leaseTick())
		if n := report(nil); n != 2 {
			t.Errorf("after the interval: %d reports", n)
		}
		assign(m, 3, placement.Partition{Epoch: 6, Primary: "me", Backups: []placement.Backup{{Store: "other", InSync: true}}})
		time.Sleep(m.timing.lease())
		if n := report(nil); n != 2 {
			t.Errorf("already in sync in the placement: %d reports", n)
		}
	})
}

// A handover may be canceled while the batch that releases the lease is in flight. The
// backup then has granted no lease and may become primary at any moment.
func TestLeaseThatIsGivenBackDoesNotCount(t *testing.T) {
	for name, response := range map[string]bool{"the response arrives": true, "the response is lost": false} {
		synctest.Test(t, func(t *testing.T) {
			m := startPrimary(t, placement.Backup{Store: "other", InSync: true})
			time.Sleep(m.timing.lease()) // which this store may have granted before
			exchange(t, m, nil)
			if !m.MayDeliver(0) {
				t.Fatalf("%s: no lease before the handover", name)
			}
			m.mu.Lock()
			p := m.partitions[0]
			p.handover.stopDeliveries(1)
			p.handover.acceptsStopped = true
			m.mu.Unlock()
			batch := nextBatch(t, m, 0)
			if len(batch.request.Partitions) != 1 || !batch.request.Partitions[0].ReleaseLease {
				t.Fatalf("%s: the batch does not release the lease: %+v", name, batch.request)
			}
			sentAt := time.Now()
			m.mu.Lock()
			p.resume()
			m.mu.Unlock()
			if m.MayDeliver(0) {
				t.Errorf("%s: delivers while the batch that releases the lease is in flight", name)
			}
			if response {
				m.handleResponse(&replicator{manager: m, peer: "other", wakeup: make(chan struct{}, 1)}, sentAt, 0, batch.sent, responseTo(batch))
			} else {
				m.handleFailedBatch(batch.sent)
			}
			if m.MayDeliver(0) {
				t.Errorf("%s: delivers under a released lease", name)
			}
			if exchange(t, m, nil); !m.MayDeliver(0) {
				t.Errorf("%s: the next batch grants no lease", name)
			}
		})
	}
}
