package gateway

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"saltreel/internal/timeutil"
	"saltreel/internal/topic"
)

// brokerLink is what the gateway follows at one broker: a session of calls that change
// what is followed, one at a time, and of polls, one at a time. If any of them
// fails, the session ends and a new one begins, in which each topic is followed
// from its last message on: so nothing is missed, whatever was lost on the way.
//
// The hub's mu guards all fields but the channels.
type brokerLink struct {
	hub     *hub
	store   string // the broker
	address string

	feeds        map[string]*feed // that this broker leads
	pending      map[string]*feed // that are to join
	unfollows    map[string]bool  // topics that are to be dropped
	countUpdates map[string]int   // of subscribers, that are to be reported
	notBefore    time.Time        // no call is made earlier, after a failure

	session   session
	wake      chan struct{} // holds a value when there may be something to do
	readSlots chan struct{} // holds a value for each page that is being read
}

// session is one session of a link.
type session struct {
	id    string
	begun bool               // the broker knows it
	end   context.CancelFunc // of its polls; nil before they run
}

func newBrokerLink(h *hub, store string) *brokerLink {
	return &brokerLink{
		hub: h, store: store,
		feeds: map[string]*feed{}, pending: map[string]*feed{}, unfollows: map[string]bool{}, countUpdates: map[string]int{},
		session:   session{id: rand.Text()},
		wake:      make(chan struct{}, 1),
		readSlots: make(chan struct{}, maxReads),
	}
}

func (l *brokerLink) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// join has a feed of this broker join.
func (l *brokerLink) join(f *feed) {
	delete(l.unfollows, f.topic)
	l.pending[f.topic] = f
	l.wakeUp()
}

// unfollow has the broker told that a feed is followed here no longer.
func (l *brokerLink) unfollow(f *feed) {
	delete(l.feeds, f.topic)
	delete(l.pending, f.topic)
	delete(l.countUpdates, f.topic)
	l.unfollows[f.topic] = true
	l.wakeUp()
}

func (l *brokerLink) setCount(topic string, n int) {
	l.countUpdates[topic] = n
	l.wakeUp()
}

// retryNow ends the delay after a failure.
func (l *brokerLink) retryNow() {
	if !l.notBefore.IsZero() {
		l.notBefore = time.Time{}
		l.wakeUp()
	}
}

// run works off the link until ctx ends.
func (l *brokerLink) run(ctx context.Context, caller *brokerCaller) {
	defer l.reset("", nil)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for ctx.Err() == nil {
			request, address, delay := l.nextRequest()
			if delay > 0 {
				timeutil.SleepUntil(ctx, delay, l.wake)
				continue
			}
			if request == nil {
				break
			}
			l.sendFollow(ctx, caller, address, request)
		}
	}
}

// maxFollowed bounds the topics in one call.
const maxFollowed = 512

// nextRequest makes the next call; nil if there is nothing to say. If it is too
// early for one, it returns how long to wait.
func (l *brokerLink) nextRequest() (r *topic.FollowRequest, address string, delay time.Duration) {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	if !l.session.begun && len(l.feeds) == 0 {
		clear(l.unfollows) // a broker without a session follows nothing
		clear(l.countUpdates)
	}
	if len(l.pending)+len(l.unfollows)+len(l.countUpdates) == 0 {
		return nil, "", 0
	}
	if delay := time.Until(l.notBefore); delay > 0 {
		return nil, "", delay
	}
	r = &topic.FollowRequest{Session: l.session.id, Begin: !l.session.begun, Counts: l.countUpdates, MaxBytes: l.hub.responseBytes(), MaxBacklog: maxRecentBytes}
	for name := range l.unfollows {
		r.Unfollow = append(r.Unfollow, name)
	}
	for name, f := range l.pending {
		if len(r.Follow) == maxFollowed {
			break
		}
		delete(l.pending, name)
		r.Follow = append(r.Follow, f.joinRequest(f.subscribers()))
	}
	l.unfollows, l.countUpdates = map[string]bool{}, map[string]int{}
	return r, l.address, 0
}

// sendFollow makes one call and takes over the answer.
func (l *brokerLink) sendFollow(ctx context.Context, caller *brokerCaller, address string, r *topic.FollowRequest) {
	var out topic.FollowResponse
	r.Gateway = caller.gateway
	raw, err := caller.call(ctx, l.store, address, topic.PathFollow, l.hub.timing.followTimeout(), r, nil, &out)
	if err == nil {
		err = out.SetBodies(raw)
	}
	if err == nil && (out.Unknown || len(out.Topics) != len(r.Follow)) {
		err = errUnknownSession
	}
	if err != nil {
		l.reset(r.Session, err)
		return
	}
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	if l.session.id != r.Session {
		return
	}
	for i, state := range out.Topics {
		l.applyTopicStateLocked(r.Follow[i].Topic, state)
	}
	if !l.session.begun {
		l.session.begun = true
		polls, end := context.WithCancel(ctx)
		l.session.end = end
		caller.tasks.Go(func() { l.pollLoop(polls, caller, r.Session) })
	}
}

// applyTopicStateLocked takes over where a topic stands.
func (l *brokerLink) applyTopicStateLocked(name string, state topic.TopicState) {
	f := l.feeds[name]
	if f == nil {
		return
	}
	if state.NotReady || state.Deferred {
		f.rejoin()
		l.pending[name] = f
		if state.NotReady {
			l.notBefore = time.Now().Add(l.hub.timing.retryDelay())
		}
		return
	}
	if f.applyJoin(state) {
		l.pending[name] = f
	}
}

// errUnknownSession says that the broker does not know a session, or not as the
// gateway does: it restarted, or a call was lost.
var errUnknownSession = errors.New("the broker does not know it")

// reset ends a session, unless it has ended already: all feeds join again. cause is
// what failed; nil at the end of the process.
func (l *brokerLink) reset(id string, cause error) {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	if id != "" && l.session.id != id {
		return
	}
	if l.session.end != nil {
		l.session.end()
	}
	if cause != nil && l.session.begun {
		l.hub.log.Printf("gateway: the session with %s ended: %v", l.store, cause)
	}
	l.session = session{id: rand.Text()}
	l.notBefore = time.Now().Add(l.hub.timing.retryDelay())
	for name, f := range l.feeds {
		f.rejoin()
		l.pending[name] = f
	}
	clear(l.unfollows)
	clear(l.countUpdates)
	l.wakeUp()
}

// pollLoop takes the messages of a session until it ends.
func (l *brokerLink) pollLoop(ctx context.Context, caller *brokerCaller, id string) {
	for number := int64(1); ctx.Err() == nil; number++ {
		var out topic.PollResponse
		request := topic.PollRequest{
			Gateway: caller.gateway, Session: id, Number: number,
			WaitMs: l.hub.timing.pollWait().Milliseconds(), MaxBytes: l.hub.responseBytes(),
		}
		raw, err := caller.call(ctx, l.store, l.currentAddress(), topic.PathPoll, l.hub.timing.pollTimeout(), request, nil, &out)
		if err == nil {
			_, err = topic.SetBodies(out.Entries, raw)
		}
		if err == nil && out.Unknown {
			err = errUnknownSession
		}
		if err != nil {
			l.reset(id, err)
			return
		}
		l.deliver(id, &out)
	}
}

func (l *brokerLink) currentAddress() string {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	return l.address
}

// deliver gives the messages of a poll to their feeds.
func (l *brokerLink) deliver(id string, out *topic.PollResponse) {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	if l.session.id != id {
		return
	}
	for _, e := range out.Entries {
		if f := l.feeds[e.Topic]; f != nil && f.deliver(e) {
			l.join(f)
		}
	}
	for _, number := range out.LostPartitions {
		l.rejoinPartition(number)
	}
}

// rejoinPartition has all feeds of a partition join, after a delay: the placement
// that names another broker may be on its way.
func (l *brokerLink) rejoinPartition(number int) {
	for _, f := range l.feeds {
		if f.partition == number {
			f.rejoin()
			l.join(f)
			l.notBefore = time.Now().Add(l.hub.timing.retryDelay())
		}
	}
}
