package gateway

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"saltreel/internal/timeutil"
	"saltreel/internal/topic"
)

// brokerLink follows topics at one broker. Its session consists of a sequence of follow calls
// and a sequence of polls, each with at most one call in flight. If any call fails, the
// session ends and a new one begins, which resumes each topic after its last received message.
// So no message is missed, whatever was lost.
//
// hub.mu guards all fields except the channels.
type brokerLink struct {
	hub     *hub
	store   string // name of the broker
	address string

	feeds        map[string]*feed // topics led by this broker
	pending      map[string]*feed // topics that have to join
	unfollows    map[string]bool  // topics to stop following
	countUpdates map[string]int   // subscriber counts to report
	notBefore    time.Time        // earliest time of the next call, after a failure

	session   session
	wake      chan struct{} // receives a value when there may be work
	readSlots chan struct{} // semaphore for concurrent page reads
}

// session is a session of a brokerLink.
type session struct {
	id    string
	begun bool               // known to the broker
	end   context.CancelFunc // cancels the polls; nil until they are started
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

// join requests that a feed of this broker joins.
func (l *brokerLink) join(f *feed) {
	delete(l.unfollows, f.topic)
	l.pending[f.topic] = f
	l.wakeUp()
}

// unfollow requests that the broker stops sending the topic of a feed.
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

// retryNow cancels the delay after a failure.
func (l *brokerLink) retryNow() {
	if !l.notBefore.IsZero() {
		l.notBefore = time.Time{}
		l.wakeUp()
	}
}

// run processes the requests of the link until ctx ends.
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

// maxFollowed limits the topics in one call.
const maxFollowed = 512

// nextRequest returns the next follow request, or nil if there is none. If it may not be sent
// yet, it returns how long to wait.
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

// sendFollow makes one follow call and applies the response.
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
		pollCtx, end := context.WithCancel(ctx)
		l.session.end = end
		caller.tasks.Go(func() { l.pollLoop(pollCtx, caller, r.Session) })
	}
}

// applyTopicStateLocked applies the state of a topic from a follow response.
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

// errUnknownSession reports that the broker does not know the session, or is at another point
// of it: the broker restarted, or a call was lost.
var errUnknownSession = errors.New("session unknown to the broker")

// reset ends the session with this ID, unless it has already ended, and makes all feeds join
// again. An empty ID means the current session. cause is the failure, or nil when the process
// ends.
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
		l.hub.log.Printf("gateway: session with broker %s ended: %v", l.store, cause)
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

// pollLoop receives the messages of a session until it ends.
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

// deliver passes the messages of a poll to their feeds.
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

// rejoinPartition makes all feeds of a partition join after a delay, because the placement
// that names the new broker may not have arrived yet.
func (l *brokerLink) rejoinPartition(number int) {
	for _, f := range l.feeds {
		if f.partition == number {
			f.rejoin()
			l.join(f)
			l.notBefore = time.Now().Add(l.hub.timing.retryDelay())
		}
	}
}
