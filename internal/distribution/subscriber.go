// Package distribution propagates events from the cores to all processes. The nodes
// of a zone form a tree, in which each node reads the journal of its parent by long
// polls. A Subscriber polls a parent, a Publisher serves children; most nodes have
// both.
package distribution

import (
	"context"
	"log"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"saltreel/internal/journal"
	"saltreel/internal/membership"
	"saltreel/internal/rpc"
	"saltreel/internal/timeutil"
)

// SubscriberConfig configures a Subscriber.
type SubscriberConfig struct {
	Self           membership.Node
	Journal        *journal.Journal // to which the events are appended
	Client         *rpc.Client
	Seeds          []string      // internal addresses of cores, tried last
	ContactTimeout time.Duration // within which a failed node is detected and replaced
	Log            *log.Logger
}

// Subscriber appends the events of a parent's journal to its own. Its methods are safe
// for concurrent use.
type Subscriber struct {
	self    membership.Node
	journal *journal.Journal
	client  *rpc.Client
	log     *log.Logger
	timing  timing

	mu           sync.Mutex
	seeds        []string
	nodes        map[string]membership.Node // by name
	cores        map[string]string          // addresses, by name
	lastResponse time.Time
	noParent     bool // no parent responds
	poll         poll // the call in flight
	suspected    time.Time
}

// poll is a call to a parent that is in flight.
type poll struct {
	cancel    context.CancelFunc // nil: no call is in flight
	suspected bool               // the call was canceled because its parent was suspected
}

// NewSubscriber returns a subscriber. It panics if the journal, the client, the log or
// the contact timeout is missing, which is a programming error.
func NewSubscriber(config SubscriberConfig) *Subscriber {
	if config.Journal == nil || config.Client == nil || config.Log == nil || config.ContactTimeout <= 0 {
		panic("distribution: SubscriberConfig requires Journal, Client, Log and ContactTimeout")
	}
	return &Subscriber{
		self:    config.Self,
		journal: config.Journal,
		client:  config.Client,
		log:     config.Log,
		timing:  timing{config.ContactTimeout},
		seeds:   config.Seeds,
		nodes:   map[string]membership.Node{},
		cores:   map[string]string{},
	}
}

// SuspectParent reports that events seem to be late. It cancels the current poll, so
// that another parent is polled at once. It has an effect only once per
// failedParentBackoff, since trying all cores in turn would not help.
func (s *Subscriber) SuspectParent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.poll.cancel != nil && time.Since(s.suspected) > s.timing.failedParentBackoff() {
		s.suspected = time.Now()
		s.poll.suspected = true
		s.poll.cancel()
	}
}

// SetSeeds replaces the addresses of the seeds.
func (s *Subscriber) SetSeeds(cores []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = cores
}

// KnownCores returns the internal addresses of the cores known from events, sorted.
func (s *Subscriber) KnownCores() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Values(s.cores))
}

// UpToDate reports whether a parent responded recently.
func (s *Subscriber) UpToDate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.noParent && !s.lastResponse.IsZero() && time.Since(s.lastResponse) < s.timing.maxResponseAge()
}

func (s *Subscriber) parents() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return parents(s.self, s.nodes, s.seeds)
}

// Run polls parents until ctx ends. It must be called only once.
func (s *Subscriber) Run(ctx context.Context) {
	s.journal.Subscribe(s.applyEvent)
	loop := &pollLoop{Subscriber: s, failedAt: map[string]time.Time{}}
	for ctx.Err() == nil {
		if parent := loop.selectParent(); parent != "" {
			loop.pollOnce(ctx, parent)
			continue
		}
		s.setNoParent()
		clear(loop.failedAt)
		timeutil.Sleep(ctx, s.timing.retryDelay())
	}
}

// applyEvent maintains the set of nodes from which the parents are derived.
func (s *Subscriber) applyEvent(e journal.Event) {
	name, ok := strings.CutPrefix(e.Key, PrefixNode)
	if !ok || name == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.IsDeleted() {
		delete(s.nodes, name)
		delete(s.cores, name)
		return
	}
	n := journal.Decode[membership.Node](e)
	s.nodes[name] = n
	if n.Role == roleCore {
		s.cores[name] = n.Address
	}
}

func (s *Subscriber) setNoParent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noParent = true
}

// beginPoll lets SuspectParent cancel the call.
func (s *Subscriber) beginPoll(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poll = poll{cancel: cancel}
}

// endPoll reports whether the parent was suspected during the call.
func (s *Subscriber) endPoll() (suspected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poll.cancel = nil
	return s.poll.suspected
}

func (s *Subscriber) recordResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastResponse = time.Now()
	s.noParent = false
}
