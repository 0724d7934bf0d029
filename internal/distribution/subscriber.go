// Package distribution carries events from the cores to all processes: the
// nodes of a zone form a tree, and each follows the journal of its parent by
// long polls. A subscriber follows, a publisher is followed; most nodes are both.
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

// SubscriberConfig is what a Subscriber needs.
type SubscriberConfig struct {
	Self           membership.Node
	Journal        *journal.Journal // to which the events are appended
	Client         *rpc.Client
	Seeds          []string      // internal addresses of cores, as the last resort
	ContactTimeout time.Duration // after which a process without contact counts as failed
	Log            *log.Logger
}

// Subscriber appends the events of a parent's journal to its own.
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
	noParent     bool // none of the parents answers
	poll         poll // the call under way
	suspected    time.Time
}

// poll is a call to a parent that is under way.
type poll struct {
	cancel    context.CancelFunc // nil: there is none
	suspected bool               // it was cancelled since its parent was suspected
}

// NewSubscriber makes a subscriber. It panics if the journal, the client, the
// log or the contact time-out is missing, which is an error of the program.
func NewSubscriber(config SubscriberConfig) *Subscriber {
	if config.Journal == nil || config.Client == nil || config.Log == nil || config.ContactTimeout <= 0 {
		panic("distribution: a subscriber needs a journal, a client, a log and a contact time-out")
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

// SuspectParent says that events seem to be late. Another parent is asked at
// once, but only once within the time for which the previous one is avoided:
// asking all cores in turn would not help.
func (s *Subscriber) SuspectParent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.poll.cancel != nil && time.Since(s.suspected) > s.timing.failedParentBackoff() {
		s.suspected = time.Now()
		s.poll.suspected = true
		s.poll.cancel()
	}
}

// SetSeeds replaces the addresses of last resort.
func (s *Subscriber) SetSeeds(cores []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = cores
}

// KnownCores lists the internal addresses of the cores that events named, sorted.
func (s *Subscriber) KnownCores() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Values(s.cores))
}

// UpToDate reports whether a parent answered recently.
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

// Run follows parents until ctx ends. It may be called once.
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

// applyEvent maintains the nodes from which the parents are derived.
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
