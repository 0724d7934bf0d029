package gateway

import (
	"log"
	"sync"
	"time"

	"saltreel/internal/budget"
	"saltreel/internal/linewire"
	"saltreel/internal/partition"
	"saltreel/internal/placement"
	"saltreel/internal/topic"
)

// hub holds the topics that the gateway follows and the subscriptions to them. mu also guards
// the feeds and the state of the links.
type hub struct {
	timing           timing
	placement        func() *placement.Placement // returns the current placement; nil before the first
	startLink        func(l *brokerLink)         // starts a new link
	startBacklogRead func(f *feed)               // starts reading the backlog of a feed
	log              *log.Logger
	linkBytesPerS    float64 // network link speed of this host; 0: unknown
	topics           *budget.Budget

	mu    sync.Mutex
	feeds map[string]*feed       // by topic
	links map[string]*brokerLink // by broker store name
}

func newHub(timing timing, placement func() *placement.Placement, logger *log.Logger, startLink func(l *brokerLink), startRead func(f *feed)) *hub {
	return &hub{
		timing: timing, placement: placement, startLink: startLink, startBacklogRead: startRead, log: logger,
		feeds: map[string]*feed{}, links: map[string]*brokerLink{},
	}
}

// subscribe adds a subscription, which is acknowledged now or when the broker responds. It
// returns false if there is no memory for another topic.
func (h *hub) subscribe(s *subscription) (ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.feeds[s.topic]
	if f == nil {
		f = h.newFeedLocked(s.topic)
		if f == nil {
			return false
		}
	}
	if f.add(s) {
		f.link.join(f)
	}
	return true
}

// Memory that following a topic takes.
const (
	feedBytes = 2 << 10
	// topicNameCopies is how many copies of the name of a topic exist: in the feed, in the
	// calls to the broker, and in what the broker sends.
	topicNameCopies = 4
)

// newFeedLocked starts to follow a topic, if need be in place of those without subscriptions.
// It returns nil if there is no memory for it.
func (h *hub) newFeedLocked(name string) *feed {
	size := feedBytes + topicNameCopies*len(name)
	account := h.topics.Open(size, func() {})
	if account == nil {
		h.dropUnusedLocked(0)
		account = h.topics.Open(size, func() {})
	}
	if account == nil {
		return nil
	}
	f := newFeed(name, h.partitionOf(name), h.startBacklogRead)
	f.useMemory(account)
	h.feeds[name] = f
	h.assignLocked(f)
	return f
}

// unsubscribe ends a subscription. Nothing more is sent for it.
func (h *hub) unsubscribe(s *subscription) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeLocked(s)
}

func (h *hub) removeLocked(s *subscription) {
	if f := h.feeds[s.topic]; f != nil {
		delete(f.subscriptions, s)
		f.backlog.wakeUp() // the backlog reader may be able to stop
		if len(f.subscriptions) == 0 {
			f.unusedSince = time.Now()
		}
	}
}

// end ends a subscription that the client did not end. The client gets the reason in a REJECT,
// either in response to its SUBSCRIBE or unsolicited.
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

// partitionOf returns the partition of a topic. Clients are accepted only once there is a
// placement.
func (h *hub) partitionOf(name string) int {
	return topic.PartitionOf(name, len(h.placement().Partitions))
}

// responseBytes returns the approximate size limit of one broker response, so that concurrent
// responses of all brokers do not occupy the link for long; 0 if the link speed is unknown.
func (h *hub) responseBytes() int {
	const least = 4 << 10 // one message of typical size and the framing of the call
	stores := max(1, len(h.placement().Stores))
	bytes := int(h.linkBytesPerS * h.timing.transferTime().Seconds() / float64(stores))
	if bytes == 0 {
		return 0
	}
	return max(least, bytes)
}

// primaryOf returns the name and address of the primary of a partition.
func (h *hub) primaryOf(number int) (name, address string) {
	p := h.placement()
	name = p.Partitions[number].Primary
	return name, p.Stores[name].Address
}

// assignLocked assigns a feed to the link of its broker.
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

// applyPlacement moves the feeds whose broker has changed to the link of the new one.
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

// dropUnused stops following topics that have had no subscriptions for some time.
func (h *hub) dropUnused() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropUnusedLocked(h.timing.unusedFeedRetention())
}

// dropUnusedLocked stops following topics that have had no subscriptions for longer than age.
func (h *hub) dropUnusedLocked(age time.Duration) {
	for name, f := range h.feeds {
		if len(f.subscriptions) == 0 && time.Since(f.unusedSince) > age {
			delete(h.feeds, name)
			f.link.unfollow(f)
			f.account.Close()
		}
	}
}

// reportCounts queues changed subscriber counts for the brokers.
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

// subscribers returns the number of subscriptions whose client is present.
func (f *feed) subscribers() int {
	n := 0
	for s := range f.subscriptions {
		if s.client.isPresent() {
			n++
		}
	}
	return n
}

// parseCursor parses the cursor of a SUBSCRIBE. It returns false if the cursor is invalid.
func parseCursor(text string) (cursor partition.Position, ok bool) {
	cursor, err := partition.ParsePosition(text)
	return cursor, err == nil
}
