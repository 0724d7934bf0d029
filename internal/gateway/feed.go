package gateway

import (
	"time"

	"saltreel/internal/budget"
	"saltreel/internal/linewire"
	"saltreel/internal/partition"
	"saltreel/internal/topic"
)

// subscriber receives the responses and messages of a subscription.
type subscriber interface {
	// send queues a response without blocking.
	send(frame []byte)
	// deliver queues a message unless the queue is full; the limit is lower for backlog
	// messages. If it returns false, hub.resumeBacklogs is called when there is room.
	deliver(m *message, backlog bool) bool
	// hasRoom reports whether deliver would queue a backlog message.
	hasRoom() bool
	// reject rejects a subscription, or ends an accepted one.
	reject(s *subscription, reason linewire.Reason)
	// isPresent reports whether the client is alive; a connection may be lost without notice.
	isPresent() bool
}

// subscription is the subscription of one connection to one topic.
type subscription struct {
	client       subscriber
	topic        string
	resumes      bool               // the client gave a cursor
	cursor       partition.Position // all messages up to here were sent or are not wanted
	acknowledged bool               // SUBSCRIBE was answered with OK
	behind       bool               // lacks messages that are not recent, or its queue is full; see backlog
}

// feed is the state machine, without I/O, of a topic that the gateway follows. It first has to
// join (joinRequest, applyJoin) and is then live: each message arrives once and in order
// (deliver). If one is missing, the feed has to join again. Subscriptions that lack more than
// the recent messages are behind and get the others from the backlog. A feed has no lock of
// its own: hub.mu guards it.
type feed struct {
	topic     string
	partition int
	link      *brokerLink // to the broker

	state         feedState
	request       topic.FollowedTopic // the last join request
	early         []topic.Entry       // received while joining
	earlyLost     bool                // more were received than are buffered
	position      partition.Position  // position of the last message
	positionKnown bool                // position is valid
	recent        recentMessages
	backlog       backlog
	account       *budget.Account // of the cached messages; nil: no bounds

	subscriptions map[*subscription]bool
	unusedSince   time.Time // when the last subscription ended
	reported      int       // subscriber count last reported to the broker
}

// feedState is the join state of a feed.
type feedState int

const (
	feedUnjoined feedState = iota // has to join
	feedJoining                   // the join request was sent
	feedLive
)

// newFeed returns a feed. startReading is called to start reading its backlog.
func newFeed(name string, number int, startReading func(f *feed)) *feed {
	return &feed{topic: name, partition: number, backlog: newBacklog(startReading), subscriptions: map[*subscription]bool{}}
}

// useMemory sets the account of the messages that the feed caches. What it cannot cache is
// read from the broker again.
func (f *feed) useMemory(account *budget.Account) {
	f.account = account
	f.recent.account = account
	f.backlog.account = account
}

// add adds a subscription, and activates it if the feed is live and has the messages that it
// lacks. It reports whether the feed has to join now.
func (f *feed) add(s *subscription) (join bool) {
	f.subscriptions[s] = true
	switch {
	case f.state != feedLive:
	case s.resumes && f.recent.isTrimmedAfter(s.cursor):
		f.fallBehind(s)
	default:
		f.activate(s)
	}
	return f.state == feedUnjoined
}

// activate acknowledges a subscription of a live feed whose recent messages suffice, and sends
// them.
func (f *feed) activate(s *subscription) {
	if !s.resumes {
		s.cursor = f.position
	}
	f.acknowledge(s)
	f.sendRecent(s)
}

// acknowledge sends OK for the subscription, unless that was done before.
func (f *feed) acknowledge(s *subscription) {
	if !s.acknowledged {
		s.acknowledged = true
		s.client.send(linewire.AppendSubscribeOK(nil, f.topic, s.cursor.String()))
	}
}

// sendRecent sends the recent messages that a subscription lacks. If the client's queue is
// full, the subscription falls behind.
func (f *feed) sendRecent(s *subscription) {
	for _, m := range f.recent.after(s.cursor) {
		if !s.deliver(m) {
			f.fallBehind(s)
			return
		}
	}
}

// deliver sends a message unless it was sent before. It returns false if the client's queue is
// full.
func (s *subscription) deliver(m *message) bool {
	if !m.position.After(s.cursor) {
		return true
	}
	if !s.client.deliver(m, s.behind) {
		return false
	}
	s.cursor = m.position
	return true
}

// joinRequest returns the request to the broker: for the messages that some subscription lacks
// and all later ones. Messages for subscriptions that are behind are read separately.
// subscribers is the number to report.
func (f *feed) joinRequest(subscribers int) topic.FollowedTopic {
	r := topic.FollowedTopic{Topic: f.topic, Partition: f.partition, Replay: f.positionKnown, After: f.position, Subscribers: subscribers}
	for s := range f.subscriptions {
		if s.acknowledged || s.behind || !s.resumes || f.positionKnown && !f.recent.isTrimmedAfter(s.cursor) {
			continue
		}
		if !r.Replay || r.After.After(s.cursor) {
			r.Replay, r.After = true, s.cursor
		}
	}
	f.reported = subscribers
	f.request = r
	f.state = feedJoining
	return r
}

// applyJoin applies the broker's response to the last joinRequest. It reports whether the feed
// has to join again.
func (f *feed) applyJoin(state topic.TopicState) (again bool) {
	f.rebuildRecent(state)
	if !f.positionKnown || state.End.After(f.position) {
		f.position = state.End
	}
	f.positionKnown = true
	again = f.earlyLost
	for s := range f.subscriptions {
		f.resume(s, state.Floor)
	}
	f.recent.trim()
	early := f.early
	f.clearEarly()
	f.state = feedLive
	for _, e := range early {
		again = f.deliver(e) || again
	}
	if again {
		f.rejoin()
	}
	return again
}

// rebuildRecent adds the messages of the broker's response to the recent ones, or replaces
// them if there is a gap in between.
func (f *feed) rebuildRecent(state topic.TopicState) {
	from := f.request.After
	if !f.request.Replay {
		from = state.End
	}
	for _, missing := range []partition.Position{state.Floor, state.Skipped} {
		if missing.After(from) {
			from = missing
		}
	}
	if !f.positionKnown || from != f.position {
		f.recent.clear(from)
	}
	for _, e := range state.Entries {
		f.recent.add(newMessage(e))
	}
}

// resume sends a subscription the messages that it lacks after a join, or rejects it if they
// were deleted. The subscription falls behind if the response did not contain all of them.
func (f *feed) resume(s *subscription, floor partition.Position) {
	switch {
	case s.behind:
	case !s.acknowledged && !s.resumes:
		f.activate(s)
	case floor.After(s.cursor):
		delete(f.subscriptions, s)
		s.client.reject(s, linewire.Expired)
	case f.recent.isTrimmedAfter(s.cursor):
		f.fallBehind(s)
	case s.acknowledged:
		f.sendRecent(s)
	default:
		f.activate(s)
	}
}

// maxEarly limits the messages buffered while the feed joins. If there are more, it joins
// again.
const maxEarly = 256

// deliver handles the next message of the broker. It reports whether the feed has to join
// because a preceding message is missing.
func (f *feed) deliver(e topic.Entry) (join bool) {
	switch {
	case f.state == feedUnjoined: // the join response will contain it
		return false
	case f.state == feedJoining:
		f.bufferEarly(e)
		return false
	case !e.Position.After(f.position): // the join response contained it
		return false
	case e.Previous.After(f.position):
		f.rejoin()
		return true
	}
	m := newMessage(e)
	f.recent.add(m)
	f.recent.trim()
	f.position = e.Position
	for s := range f.subscriptions {
		if !s.behind && !s.deliver(m) {
			f.fallBehind(s)
		}
	}
	return false
}

func (f *feed) bufferEarly(e topic.Entry) {
	if len(f.early) == maxEarly || !f.account.Reserve(len(e.Body)+frameOverhead) {
		f.earlyLost = true
		return
	}
	f.early = append(f.early, e)
}

func (f *feed) clearEarly() {
	for _, e := range f.early {
		f.account.Release(len(e.Body) + frameOverhead)
	}
	f.early, f.earlyLost = nil, false
}

// rejoin makes the feed join again, for example after its broker or the session changed.
func (f *feed) rejoin() {
	f.state = feedUnjoined
	f.clearEarly()
}

// message is a message of a topic, encoded for clients.
type message struct {
	position partition.Position
	frame    []byte
}

func newMessage(e topic.Entry) *message {
	size := len(e.Topic) + len(e.Publisher) + len(e.Body) + frameOverhead
	frame := linewire.AppendDeliver(make([]byte, 0, size), e.Topic, e.Position.String(), e.Publisher, e.Number, e.Body)
	return &message{e.Position, frame}
}

// frameOverhead is an upper estimate for the rest of a DELIVER line.
const frameOverhead = 64

// recentMessages caches the last messages of a topic for clients that reconnect.
type recentMessages struct {
	messages []*message
	bytes    int
	trimmed  partition.Position // all messages after this position are present
	account  *budget.Account
}

// Limits of the recent messages of one topic.
const (
	maxRecentMessages = 64
	maxRecentBytes    = 32 << 10
)

// add adds a message. If there is no memory for it, nothing is cached any more.
func (r *recentMessages) add(m *message) {
	if !r.account.Reserve(frameBytes(m.frame)) {
		r.clear(m.position)
		return
	}
	r.messages = append(r.messages, m)
	r.bytes += len(m.frame)
}

// trim drops the oldest messages that exceed the limits.
func (r *recentMessages) trim() {
	for len(r.messages) > maxRecentMessages || r.bytes > maxRecentBytes && len(r.messages) > 1 {
		r.trimmed = r.messages[0].position
		r.bytes -= len(r.messages[0].frame)
		r.account.Release(frameBytes(r.messages[0].frame))
		r.messages[0] = nil
		r.messages = r.messages[1:]
	}
}

// clear drops all messages; only those after a position will be present.
func (r *recentMessages) clear(through partition.Position) {
	for _, m := range r.messages {
		r.account.Release(frameBytes(m.frame))
	}
	r.messages, r.bytes, r.trimmed = nil, 0, through
}

// isTrimmedAfter reports whether messages after a position may be missing.
func (r *recentMessages) isTrimmedAfter(p partition.Position) bool { return r.trimmed.After(p) }

// after returns the messages after a position.
func (r *recentMessages) after(p partition.Position) []*message {
	for i, m := range r.messages {
		if m.position.After(p) {
			return r.messages[i:]
		}
	}
	return nil
}
