package delivery

import (
	"container/heap"
	"time"
)

// serviceQueue holds the messages of one service that wait for a delivery, and the pacing and
// failure rate of the service.
type serviceQueue struct {
	service     string
	scheduled   dueHeap   // not yet due
	ready       readyHeap // due, and can still meet the start target
	late        lateHeap  // due, and past the start target
	pacer       tokenBucket
	failureRate float64 // moving average of the fraction of failed attempts
}

func newServiceQueue(service string, now time.Time) *serviceQueue {
	return &serviceQueue{service: service, pacer: tokenBucket{lastRefill: now}}
}

// schedule adds a message that becomes ready when it is due.
func (q *serviceQueue) schedule(m *message) { heap.Push(&q.scheduled, m) }

// requeue puts back a due message that could not start.
func (q *serviceQueue) requeue(m *message) { heap.Push(&q.ready, m) }

// releaseDue moves the scheduled messages that are due to the ready heap.
func (q *serviceQueue) releaseDue(now time.Time) {
	for len(q.scheduled) > 0 && !q.scheduled[0].due.After(now) {
		if m := heap.Pop(&q.scheduled).(*message); !m.finished {
			heap.Push(&q.ready, m)
		}
	}
}

// timeUntilNextDue returns the time until the next scheduled message is due, at most limit.
func (q *serviceQueue) timeUntilNextDue(now time.Time, limit time.Duration) time.Duration {
	if len(q.scheduled) == 0 {
		return limit
	}
	return min(limit, q.scheduled[0].due.Sub(now))
}

// isEmpty reports whether the queue has no messages, due or not.
func (q *serviceQueue) isEmpty() bool { return len(q.scheduled) == 0 && q.dueCount() == 0 }

// dueCount returns the number of messages that are due.
func (q *serviceQueue) dueCount() int { return len(q.ready) + len(q.late) }

// pop removes and returns the message to start first, or nil if none is due. Late messages come
// after those that can still meet their start target, oldest first, so that a backlog does
// not make new messages late as well. An overdue message comes before all others.
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

// dueHeap is a min-heap of messages by due time.
type dueHeap []*message

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *dueHeap) Push(x any) { *h = append(*h, x.(*message)) }

func (h *dueHeap) Pop() any { return popLast((*[]*message)(h)) }

// readyHeap is a min-heap of messages by priority, then by startBy.
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

// lateHeap is a min-heap of messages by eligibleSince.
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
