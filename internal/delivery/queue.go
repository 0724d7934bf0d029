package delivery

import (
	"container/heap"
	"time"
)

// serviceQueue is the queue of one service, with what is known of the service as
// a whole.
type serviceQueue struct {
	service     string
	scheduled   dueHeap   // not due yet
	ready       readyHeap // may still start in time
	late        lateHeap  // cannot any more
	pacer       tokenBucket
	failureRate float64 // smoothed part of the attempts that failed
}

func newServiceQueue(service string, now time.Time) *serviceQueue {
	return &serviceQueue{service: service, pacer: tokenBucket{lastRefill: now}}
}

// schedule queues a message until it is due.
func (q *serviceQueue) schedule(m *message) { heap.Push(&q.scheduled, m) }

// requeue queues a message that is due and could not start.
func (q *serviceQueue) requeue(m *message) { heap.Push(&q.ready, m) }

// releaseDue makes the scheduled messages that are due ready.
func (q *serviceQueue) releaseDue(now time.Time) {
	for len(q.scheduled) > 0 && !q.scheduled[0].due.After(now) {
		if m := heap.Pop(&q.scheduled).(*message); !m.finished {
			heap.Push(&q.ready, m)
		}
	}
}

// timeUntilNextDue is how long the next scheduled message is not due yet, at most
// most.
func (q *serviceQueue) timeUntilNextDue(now time.Time, most time.Duration) time.Duration {
	if len(q.scheduled) == 0 {
		return most
	}
	return min(most, q.scheduled[0].due.Sub(now))
}

// isEmpty reports whether no message waits.
func (q *serviceQueue) isEmpty() bool { return len(q.scheduled) == 0 && q.dueCount() == 0 }

// dueCount is how many messages are due.
func (q *serviceQueue) dueCount() int { return len(q.ready) + len(q.late) }

// pop takes the message that is to start first; nil if none is due. Messages
// that are late in any case go after those that can still start in time, oldest
// first, so that a backlog does not make the fresh ones late too, unless one is
// overdue.
func (q *serviceQueue) pop(now time.Time) *message {
	if len(q.late) > 0 && now.After(q.late[0].overdueAt) {
		return heap.Pop(&q.late).(*message)
	}
	for len(q.ready) > 0 {
		m := heap.Pop(&q.ready).(*message)
		if m.finished || !now.After(m.startBy) {
			return m
		}
		heap.Push(&q.late, m)
	}
	if len(q.late) > 0 {
		return heap.Pop(&q.late).(*message)
	}
	return nil
}

// dueHeap orders messages by when they are due.
type dueHeap []*message

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *dueHeap) Push(x any) { *h = append(*h, x.(*message)) }

func (h *dueHeap) Pop() any { return popLast((*[]*message)(h)) }

// readyHeap orders messages by priority, then by the latest start in time.
type readyHeap []*message

func (h readyHeap) Len() int { return len(h) }

func (h readyHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].startBy.Before(h[j].startBy)
}

func (h readyHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *readyHeap) Push(x any) { *h = append(*h, x.(*message)) }

func (h *readyHeap) Pop() any { return popLast((*[]*message)(h)) }

// lateHeap orders messages by how long they could have started.
type lateHeap []*message

func (h lateHeap) Len() int { return len(h) }

func (h lateHeap) Less(i, j int) bool { return h[i].eligibleSince.Before(h[j].eligibleSince) }

func (h lateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *lateHeap) Push(x any) { *h = append(*h, x.(*message)) }

func (h *lateHeap) Pop() any { return popLast((*[]*message)(h)) }

func popLast(h *[]*message) *message {
	old := *h
	m := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return m
}
