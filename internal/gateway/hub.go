package gateway

import (
	"log"
	"sync"
	"time"

	"saltreel/internal/linewire"
	"saltreel/internal/partition"
	"saltreel/internal/placement"
	"saltreel/internal/topic"
)

// hub is the topics that the gateway follows, and the subscriptions to them. mu
// guards all of it, the feeds and what the links say of themselves included.
type hub struct {
	timing           timing
	placement        func() *placement.Placement // the newest; nil before the first
	startLink        func(l *brokerLink)         // begins to work off a new link
	startBacklogRead func(f *feed)               // begins to read the backlog of a feed
	log              *log.Logger
	linkBytesPerS    float64 // bytes a second of this machine's link; 0: not known

	mu    sync.Mutex
	feeds map[string]*feed       // by topic
	links map[string]*brokerLink // by the name of the broker's store
}

func newHub(timing timing, placement func() *placement.Placement, logger *log.Logger, startLink func(l *brokerLink), startRead func(f *feed)) *hub {
	return &hub{
		timing: timing, placement: placement, startLink: startLink, startBacklogRead: startRead, log: logger,
		feeds: map[string]*feed{}, links: map[string]*brokerLink{},
	}
}

// subscribe adds a subscription, which is answered now or when its broker answers.
func (h *hub) subscribe(s *subscription) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.feeds[s.topic]
	if f == nil {
		f = newFeed(s.topic, h.partitionOf(s.topic), h.startBacklogRead)
		h.feeds[s.topic] = f
		h.assignLocked(f)
	}
	if f.add(s) {
		f.link.join(f)
	}
}

// unsubscribe ends a subscription. Nothing more is sent to it.
func (h *hub) unsubscribe(s *subscription) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeLocked(s)
}

func (h *hub) removeLocked(s *subscription) {
	if f := h.feeds[s.topic]; f != nil {
		delete(f.subscriptions, s)
		f.backlog.wakeUp() // its reading may end
		if len(f.subscriptions) == 0 {
			f.unusedSince = time.Now()
		}
	}
}

// end ends a subscription that the client did not end, and says why: to a SUBSCRIBE
// that waits for its answer, or unasked.
func (h *hub) end(s *subscription, reason linewire.Reason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.feeds[s.topic]
	if f == nil || !f.subscriptions[s] {
		return
	}
	h.removeLocked(s)
	s.client.reject(s, reason)
}

// partitionOf is the partition of a topic. There is a placement before any client.
func (h *hub) partitionOf(name string) int {
	return topic.PartitionOf(name, len(h.placement().Partitions))
}

// responseBytes is about how much one answer of a broker may have, so that those of
// all brokers at once don't occupy the link for long.
func (h *hub) responseBytes() int {
	const least = 4 << 10 // one message of usual size, and the frame of the call
	stores := max(1, len(h.placement().Stores))
	bytes := int(h.linkBytesPerS * h.timing.transferTime().Seconds() / float64(stores))
	if bytes == 0 {
		return 0
	}
	return max(least, bytes)
}

// primaryOf is the name and the address of the store that leads a partition.
func (h *hub) primaryOf(number int) (name, address string) {
	p := h.placement()
	name = p.Partitions[number].Primary
	return name, p.Stores[name].Address
}

// assignLocked gives a feed to the link of its broker.
func (h *hub) assignLocked(f *feed) {
	name, address := h.primaryOf(f.partition)
	l := h.links[name]
	if l == nil {
		l = newBrokerLink(h, name)
		h.links[name] = l
		defer h.startLink(l)
	}
	l.address = address
	f.link = l
	l.feeds[f.topic] = f
}

// applyPlacement gives the feeds whose broker is another one by now to its link.
func (h *hub) applyPlacement() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.feeds {
		name, address := h.primaryOf(f.partition)
		if f.link.store == name {
			f.link.address = address
			continue
		}
		f.link.unfollow(f)
		h.assignLocked(f)
		f.rejoin()
		f.link.join(f)
	}
	for _, l := range h.links {
		l.retryNow()
	}
}

// dropUnused stops to follow the topics that nobody subscribes to any more.
func (h *hub) dropUnused() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, f := range h.feeds {
		if len(f.subscriptions) == 0 && time.Since(f.unusedSince) > h.timing.unusedFeedRetention() {
			delete(h.feeds, name)
			f.link.unfollow(f)
		}
	}
}

// reportCounts has the brokers told how many subscribers there are, where that
// changed.
func (h *hub) reportCounts() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.feeds {
		if n := f.subscribers(); n != f.reported && f.state == feedLive {
			f.reported = n
			f.link.setCount(f.topic, n)
		}
	}
}

// subscribers counts the subscriptions of those who are there.
func (f *feed) subscribers() int {
	n := 0
	for s := range f.subscriptions {
		if s.client.isPresent() {
			n++
		}
	}
	return n
}

// parseCursor reads the cursor of a SUBSCRIBE; ok is false if no message has it.
func parseCursor(text string) (cursor partition.Position, ok bool) {
	cursor, err := partition.ParsePosition(text)
	return cursor, err == nil
}
