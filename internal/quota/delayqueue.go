package quota

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// hold is a request that waits on a delay queue.
type hold struct {
	until    time.Time
	released chan struct{} // closed by the reaper
}

// delayQueue hands out holds when they are due, the earliest first.
type delayQueue struct {
	mu    sync.Mutex
	holds holdHeap
	wake  chan struct{} // has a value once the earliest hold has changed
}

func (q *delayQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.holds)
}

func (q *delayQueue) add(h *hold) {
	q.mu.Lock()
	heap.Push(&q.holds, h)
	earliest := q.holds[0] == h
	q.mu.Unlock()
	if !earliest {
		return
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// removeAll empties the queue.
func (q *delayQueue) removeAll() []*hold {
	q.mu.Lock()
	defer q.mu.Unlock()
	holds := q.holds
	q.holds = nil
	return holds
}

// poll waits until a hold is due and removes it. It returns nil after the
// timeout, or when ctx ends.
func (q *delayQueue) poll(ctx context.Context, timeout time.Duration) *hold {
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

// pop removes the earliest hold if it is due. Otherwise it returns when it will
// be, or the zero time if there is none.
func (q *delayQueue) pop(now time.Time) (due *hold, next time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.holds) == 0 {
		return nil, time.Time{}
	}
	if earliest := q.holds[0].until; earliest.After(now) {
		return nil, earliest
	}
	return heap.Pop(&q.holds).(*hold), time.Time{}
}

// holdHeap is a heap.Interface with the earliest hold first.
type holdHeap []*hold

func (h holdHeap) Len() int           { return len(h) }
func (h holdHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }
func (h holdHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a hold at the end.
func (h *holdHeap) Push(x any) { *h = append(*h, x.(*hold)) }

// Pop removes the last hold.
func (h *holdHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
