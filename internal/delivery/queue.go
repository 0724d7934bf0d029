package delivery

import (
	"container/heap"
	"time"
)

// service is the queue of one service.
type service struct {
	name   string
	later  timeHeap
	ready  readyHeap // may still start in time
	late   lateHeap  // cannot any more: after those that can, oldest first
	tokens float64
	filled time.Time
	paced  bool
	bad    float64 // smoothed share of attempts that came to nothing
}

// next takes the item that is to start first. A backlog of items that are late
// in any case does not make the fresh ones late too, unless it waited for long.
func (svc *service) next(now time.Time) *item {
	if len(svc.late) > 0 && now.After(svc.late[0].patience) {
		return heap.Pop(&svc.late).(*item)
	}
	for len(svc.ready) > 0 {
		it := heap.Pop(&svc.ready).(*item)
		if it.ended || !now.After(it.target) {
			return it
		}
		heap.Push(&svc.late, it)
	}
	if len(svc.late) > 0 {
		return heap.Pop(&svc.late).(*item)
	}
	return nil
}

type timeHeap []*item

func (h timeHeap) Len() int { return len(h) }

func (h timeHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

func (h timeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timeHeap) Push(x any) { *h = append(*h, x.(*item)) }

func (h *timeHeap) Pop() any { return pop((*[]*item)(h)) }

type readyHeap []*item

func (h readyHeap) Len() int { return len(h) }

func (h readyHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].target.Before(h[j].target)
}

func (h readyHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *readyHeap) Push(x any) { *h = append(*h, x.(*item)) }

func (h *readyHeap) Pop() any { return pop((*[]*item)(h)) }

type lateHeap []*item

func (h lateHeap) Len() int { return len(h) }

func (h lateHeap) Less(i, j int) bool { return h[i].since.Before(h[j].since) }

func (h lateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *lateHeap) Push(x any) { *h = append(*h, x.(*item)) }

func (h *lateHeap) Pop() any { return pop((*[]*item)(h)) }

func pop(h *[]*item) *item {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
