package partition

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
	"saltreel/internal/rpc"
)

func TestReplicatorSendDelay(t *testing.T) {
	now := time.Now()
	m := &Manager{timing: timing{6 * time.Second}}
	spacing, backoff := m.timing.batchSpacing(), m.timing.replicationBackoff()
	for name, c := range map[string]struct {
		replicator replicator
		want       time.Duration
	}{
		"no send requested":             {replicator{}, waitForEvent},
		"none in flight":                {replicator{sendRequested: true}, 0},
		"one just sent":                 {replicator{sendRequested: true, inOrder: true, inFlight: 1, lastSentAt: now}, spacing},
		"one sent a while ago":          {replicator{sendRequested: true, inOrder: true, inFlight: 1, lastSentAt: now.Add(-spacing)}, 0},
		"the backup ignores After":      {replicator{sendRequested: true, inFlight: 1, lastSentAt: now.Add(-spacing)}, waitForEvent},
		"maximum in flight":             {replicator{sendRequested: true, inOrder: true, inFlight: maxInFlightBatches, lastSentAt: now.Add(-spacing)}, waitForEvent},
		"one just failed":               {replicator{sendRequested: true, lastFailedAt: now}, backoff},
		"one failed a while ago":        {replicator{sendRequested: true, lastFailedAt: now.Add(-backoff)}, 0},
		"one failed, another in flight": {replicator{sendRequested: true, inOrder: true, inFlight: 1, lastSentAt: now.Add(-spacing), lastFailedAt: now.Add(-backoff)}, waitForEvent},
		"first batch after a failure":   {replicator{sendRequested: true, inOrder: true, inFlight: 1, lastSentAt: now.Add(-spacing), lastFailedAt: now.Add(-2 * backoff)}, waitForEvent},
	} {
		c.replicator.manager = m
		if got := c.replicator.sendDelay(now); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// A batch must wait for the one that it names, and be rejected without it, so that no
// record overtakes another.
func TestBatchIsAppliedAfterItsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startBackup(t)
		handle := func(number, after int64, id string) <-chan error {
			batch := &BatchRequest{From: "other", Number: number, After: after,
				Partitions: []PartitionBatch{{Epoch: 5, Records: []*Record{{ID: id, Sequence: number}}}}}
			result := make(chan error, 1)
			go func() {
				_, err := m.HandleBatch(t.Context(), batch, nil)
				result <- err
			}()
			synctest.Wait()
			return result
		}
		holds := func(id string) bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.partitions[0].records.byID[id] != nil
		}
		first, second, third := incarnation+1, incarnation+2, incarnation+3
		waiting := handle(second, first, "second")
		if holds("second") {
			t.Error("a batch was applied before its predecessor")
		}
		if err := errors.Join(<-handle(first, 0, "first"), <-waiting); err != nil || !holds("first") || !holds("second") {
			t.Errorf("in order: %v", err)
		}
		if err := <-handle(third, second, "third"); err != nil || !holds("third") {
			t.Errorf("predecessor already applied: %v", err)
		}
		if err := <-handle(third+2, third+1, "fifth"); !errors.Is(err, ErrOutOfOrder) || holds("fifth") {
			t.Errorf("predecessor never arrives: %v", err)
		}
		if err := <-handle(2*incarnation+2, 2*incarnation+1, "another"); !errors.Is(err, ErrOutOfOrder) || holds("another") {
			t.Errorf("predecessor of another incarnation: %v", err)
		}
	})
}

// The batch with the highest number decides about the lease, regardless of the order in
// which the responses arrive.
func TestLeaseFollowsTheNewestBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startPrimary(t, placement.Backup{Store: "other", InSync: true})
		to := &replicator{manager: m, peer: "other", wakeup: make(chan struct{}, 1)}
		lease := func() time.Time {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.partitions[0].replicas[0].leaseExpires
		}
		first := nextBatch(t, m, 1)
		sentFirst := time.Now()
		if concurrent := m.makeBatch("other", 2); len(concurrent.sent) > 0 {
			t.Errorf("a second batch was created without new messages: %+v", concurrent.request)
		}
		m.mu.Lock()
		m.commitLocked(m.partitions[0], &Record{ID: "new"}, nil)
		m.partitions[0].handover.acceptsStopped = true
		m.mu.Unlock()
		release := nextBatch(t, m, 2)
		m.handleResponse(to, sentFirst, 1, first.sent, responseTo(first))
		if !lease().IsZero() {
			t.Error("a lease that a later batch releases is still valid")
		}
		m.mu.Lock()
		m.partitions[0].resume()
		m.mu.Unlock()
		time.Sleep(time.Millisecond)
		sentThird := time.Now()
		m.handleResponse(to, sentFirst, 2, nil, BatchResponse{}) // a batch without partitions changes nothing
		m.mu.Lock()
		m.commitLocked(m.partitions[0], &Record{ID: "newer"}, nil)
		m.mu.Unlock()
		third := nextBatch(t, m, 3)
		m.handleResponse(to, sentThird, 3, third.sent, responseTo(third))
		m.handleResponse(to, sentFirst, 2, release.sent, responseTo(release))
		if want := sentThird.Add(m.timing.lease()); !lease().Equal(want) {
			t.Errorf("the lease expires at %v, want %v: the response to an earlier batch arrived later", lease(), want)
		}
	})
}

// slowBackup simulates a backup with a slow disk: it answers each batch after a delay.
type slowBackup struct {
	delay       time.Duration
	mu          sync.Mutex
	calls       [][2]int64 // Number and After of each batch, in the order of arrival
	ids         []string
	maxInFlight int // maximum number of concurrent calls
	inFlight    int
}

func (b *slowBackup) handleBatch(_ context.Context, batch *BatchRequest, _ []byte) (*BatchResponse, error) {
	b.mu.Lock()
	b.inFlight++
	b.maxInFlight = max(b.maxInFlight, b.inFlight)
	b.calls = append(b.calls, [2]int64{batch.Number, batch.After})
	response := &BatchResponse{InOrder: true}
	for _, part := range batch.Partitions {
		b.ids = append(b.ids, ids(part.Records)...)
		response.Partitions = append(response.Partitions, PartitionResult{Partition: part.Partition})
	}
	b.mu.Unlock()
	time.Sleep(b.delay)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	return response, nil
}

// pipeTo returns a client whose calls all reach a server in this process.
func pipeTo(ctx context.Context, server *httpwire.Server) *rpc.Client {
	return rpc.NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: func(context.Context, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go server.ServeConn(ctx, serverConn)
		return clientConn, nil
	}}})
}

// If batches take long, new messages must not wait for the batch in flight. Each message
// is sent once and in order, and each batch names its predecessor. If batches are fast,
// one batch at a time collects the messages.
func TestNewMessagesDoNotWaitForASlowBatch(t *testing.T) {
	for name, c := range map[string]struct {
		delay       time.Duration
		maxInFlight int
	}{
		"a slow backup":  {150 * time.Millisecond, maxInFlightBatches},
		"a quick backup": {5 * time.Millisecond, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			backup := &slowBackup{delay: c.delay}
			mux := rpc.Mux{"/copy": rpc.Handler(backup.handleBatch)}
			client := pipeTo(t.Context(), &httpwire.Server{Handle: mux.Handle})
			t.Cleanup(func() { client.CloseIdle("other:1") })
			m := startBackup(t)
			m.config.Client = client
			m.ApplyPlacement(placement.Placement{
				Version:    2,
				Stores:     map[string]placement.Store{"me": {Disk: m.DiskID()}, "other": {Address: "other:1"}},
				Partitions: []placement.Partition{{Epoch: 6, Primary: "me", Backups: []placement.Backup{{Store: "other", InSync: true}}}},
			})
			time.Sleep(time.Second) // until the first batch has been answered
			var accepts sync.WaitGroup
			var maxLatency time.Duration
			var mu sync.Mutex
			var want []string
			for i := range 20 {
				id := fmt.Sprint("m", i)
				want = append(want, id)
				accepts.Go(func() {
					started := time.Now()
					if err := m.Accept(t.Context(), 0, &Record{ID: id}); err != nil {
						t.Errorf("%s: %s: %v", name, id, err)
					}
					mu.Lock()
					defer mu.Unlock()
					maxLatency = max(maxLatency, time.Since(started))
				})
				time.Sleep(10 * time.Millisecond)
			}
			accepts.Wait()
			backup.mu.Lock()
			defer backup.mu.Unlock()
			if !slices.Equal(backup.ids, want) || backup.maxInFlight != c.maxInFlight {
				t.Errorf("%s: %d batches in flight, with %v", name, backup.maxInFlight, backup.ids)
			}
			if limit := c.delay + m.timing.batchSpacing() + c.delay/maxInFlightBatches; maxLatency > limit {
				t.Errorf("%s: a message took %v, limit %v", name, maxLatency, limit)
			}
			for i, call := range backup.calls[1:] {
				if call[0] != backup.calls[i][0]+1 || call[1] != 0 && call[1] != backup.calls[i][0] {
					t.Errorf("%s: batch %v follows %v", name, call, backup.calls[i])
				}
			}
		})
	}
}
