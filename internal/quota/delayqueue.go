package quota

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// throttledRequest is a request that waits in the delay queue for the end of its
// throttle time.
type throttledRequest struct {
	releaseAt time.Time
	released  chan struct{} // closed by Manager.Reap
}

// delayQueue returns throttled requests when their throttle time is over, ordered by
// release time.
type delayQueue struct {
	mu       sync.Mutex
	requests releaseHeap
	wake     chan struct{} // has capacity 1; signaled when the earliest release time changes
}

func (q *delayQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.requests)
}

func (q *delayQueue) add(r *throttledRequest) {
	q.mu.Lock()
	heap.Push(&q.requests, r)
	earliest := q.requests[0] == r
	q.mu.Unlock()
	if !earliest {
		return
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// removeAll empties the queue and returns what it held.
func (q *delayQueue) removeAll() []*throttledRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	requests := q.requests
	q.requests = nil
	return requests
}

// poll waits for a request to become due, and removes and returns it. It returns nil
// on timeout or when ctx is done.
func (q *delayQueue) poll(ctx context.Context, timeout time.Duration) *throttledRequest {
	deadline := time.Now().Add(timeout)
	for {
		now := time.Now()
		due, next := q.pop(now)
		if due != nil {
			return due
		}
		if !now.Before(deadline) {
			return nil
		}
		if next.IsZero() || deadline.Before(next) {
			next = deadline
		}
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-timer.C:
		case <-q.wake:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// pop removes and returns the earliest request if it is due. Otherwise it returns the
// earliest release time, or the zero time if the queue is empty.
func (q *delayQueue) pop(now time.Time) (due *throttledRequest, next time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.requests) == 0 {
		return nil, time.Time{}
	}
	if earliest := q.requests[0].releaseAt; earliest.After(now) {
		return nil, earliest
	}
	return heap.Pop(&q.requests).(*throttledRequest), time.Time{}
}

// releaseHeap is a min-heap of throttled requests by release time; it implements
// heap.Interface.
type releaseHeap []*throttledRequest

func (h releaseHeap) Len() int           { return len(h) }
func (h releaseHeap) Less(i, j int) bool { return h[i].releaseAt.Before(h[j].releaseAt) }
func (h releaseHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *releaseHeap) Push(x any) { *h = append(*h, x.(*throttledRequest)) }

// Pop implements heap.Interface.
func (h *releaseHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
