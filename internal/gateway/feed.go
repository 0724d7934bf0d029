package gateway

import (
	"time"

	"saltreel/internal/linewire"
	"saltreel/internal/partition"
	"saltreel/internal/topic"
)

// subscriber gets what a subscription is answered and sent.
type subscriber interface {
	// send queues an answer. It does not block.
	send(frame []byte)
	// deliver queues a message, unless too much waits: less may where it is of the
	// backlog. Where it reports false, hub.resumeBacklogs is called when there is room.
	deliver(m *message, backlog bool) bool
	// hasRoom reports whether a message of the backlog would be queued, as deliver does.
	hasRoom() bool
	// reject answers a subscription, or ends it.
	reject(s *subscription, reason linewire.Reason)
	// isPresent reports whether it is there: it may be gone without a word.
	isPresent() bool
}

// subscription is one topic of one connection.
type subscription struct {
	client       subscriber
	topic        string
	resumes      bool               // the client gave a cursor
	cursor       partition.Position // all messages up to here are sent, or not wanted
	acknowledged bool               // the client knows that it is subscribed
	behind       bool               // it lacks messages that are not recent, or has no room: see backlog
}

// feed is a topic that the gateway follows: a state machine without I/O. It has to
// join (joinRequest, joined) and is live then: each message comes once and in order
// (deliver). Where one is missing, it has to join again. Subscriptions that lack more
// than the recent messages are behind, and get the others from the backlog. It has no
// lock: the hub's mu guards it.
type feed struct {
	topic     string
	partition int
	link      *brokerLink // to the broker

	state         feedState
	request       topic.FollowedTopic // the last that was made
	early         []topic.Entry       // came while joining
	earlyLost     bool                // more of them came than are kept
	position      partition.Position  // of the last message
	positionKnown bool                // position is
	recent        recentMessages
	backlog       backlog

	subscriptions map[*subscription]bool
	unusedSince   time.Time // when the last of them ended
	reported      int       // subscribers as the broker was last told
}

// feedState is how far a feed is.
type feedState int

const (
	feedUnjoined feedState = iota // it has to join
	feedJoining                   // the broker was asked
	feedLive
)

// newFeed makes a feed; startReading begins to read its backlog.
func newFeed(name string, number int, startReading func(f *feed)) *feed {
	return &feed{topic: name, partition: number, backlog: newBacklog(startReading), subscriptions: map[*subscription]bool{}}
}

// add adds a subscription, and answers it if the feed is live and has what it
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

// activate takes up a subscription of a live feed, whose recent messages are enough.
func (f *feed) activate(s *subscription) {
	if !s.resumes {
		s.cursor = f.position
	}
	f.acknowledge(s)
	f.sendRecent(s)
}

// acknowledge tells the client that it is subscribed, unless it knows.
func (f *feed) acknowledge(s *subscription) {
	if !s.acknowledged {
		s.acknowledged = true
		s.client.send(linewire.AppendSubscribeOK(nil, f.topic, s.cursor.String()))
	}
}

// sendRecent sends the recent messages that a subscription lacks. It is behind if there is
// no room for all of them.
func (f *feed) sendRecent(s *subscription) {
	for _, m := range f.recent.after(s.cursor) {
		if !s.deliver(m) {
			f.fallBehind(s)
			return
		}
	}
}

// deliver sends a message, unless it was sent. It reports false if there is no room.
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

// joinRequest is what to ask of the broker: the messages that some subscription
// lacks, and all later ones. Those of the subscriptions that are behind are read
// separately. subscribers is how many there are.
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

// applyJoin takes what the broker answered to the last joinRequest. It reports whether
// the feed has to join again.
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
	f.early, f.earlyLost = nil, false
	f.state = feedLive
	for _, e := range early {
		again = f.deliver(e) || again
	}
	if again {
		f.rejoin()
	}
	return again
}

// rebuildRecent takes over the messages of the broker's answer. Without a gap to
// those that are here they are added; else they replace them.
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
		f.recent = recentMessages{trimmed: from}
	}
	for _, e := range state.Entries {
		f.recent.add(newMessage(e))
	}
}

// resume sends a subscription what it lacks after a join, or ends it where that was
// deleted. It is behind where the answer to the join did not hold all of it.
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

// maxEarly bounds the messages that are kept while the feed joins. If more come,
// it joins again.
const maxEarly = 256

// deliver takes the next message of the broker. It reports whether the feed has to
// join, since one before it is missing.
func (f *feed) deliver(e topic.Entry) (join bool) {
	switch {
	case f.state == feedUnjoined: // it comes with the answer to the join
		return false
	case f.state == feedJoining:
		f.bufferEarly(e)
		return false
	case !e.Position.After(f.position): // it came with the answer to a join
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
	if len(f.early) == maxEarly {
		f.earlyLost = true
		return
	}
	f.early = append(f.early, e)
}

// rejoin makes the feed join, as when its broker or the session with it changes.
func (f *feed) rejoin() {
	f.state = feedUnjoined
	f.early, f.earlyLost = nil, false
}

// message is a message of a topic as clients get it.
type message struct {
	position partition.Position
	frame    []byte
}

func newMessage(e topic.Entry) *message {
	size := len(e.Topic) + len(e.Publisher) + len(e.Body) + frameOverhead
	frame := linewire.AppendDeliver(make([]byte, 0, size), e.Topic, e.Position.String(), e.Publisher, e.Number, e.Body)
	return &message{e.Position, frame}
}

// frameOverhead is enough for the rest of a DELIVER line.
const frameOverhead = 64

// recentMessages is the last messages of a topic, for those who come back.
type recentMessages struct {
	messages []*message
	bytes    int
	trimmed  partition.Position // all messages after it are here
}

// Bounds of the recent messages of one topic.
const (
	maxRecentMessages = 64
	maxRecentBytes    = 32 << 10
)

func (r *recentMessages) add(m *message) {
	r.messages = append(r.messages, m)
	r.bytes += len(m.frame)
}

// trim drops the oldest messages while there are more than the bounds allow.
func (r *recentMessages) trim() {
	for len(r.messages) > maxRecentMessages || r.bytes > maxRecentBytes && len(r.messages) > 1 {
		r.trimmed = r.messages[0].position
		r.bytes -= len(r.messages[0].frame)
		r.messages[0] = nil
		r.messages = r.messages[1:]
	}
}

// isTrimmedAfter reports whether messages after a position may be missing here.
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
