package distribution

import (
	"context"
	"time"

	"saltreel/internal/journal"
)

// pollLoop is the state of Subscriber.Run. Only its goroutine uses it.
type pollLoop struct {
	*Subscriber
	parent     string               // that responded last; empty after it failed
	reselectAt time.Time            // when to reselect the parent although it responds
	failedAt   map[string]time.Time // by address
	position   position
}

// position is the read position in the journal of one parent.
type position struct {
	parent string
	source string
	number uint64
}

// selectParent returns the address to poll next, or "" if all candidates failed
// recently.
func (l *pollLoop) selectParent() string {
	if l.parent != "" && !l.recentlyFailed(l.parent) && !time.Now().After(l.reselectAt) {
		return l.parent
	}
	l.reselectAt = l.timing.reselectTime(time.Now())
	for _, candidate := range l.parents() {
		if !l.recentlyFailed(candidate) {
			return candidate
		}
	}
	return ""
}

// recentlyFailed reports whether a parent is in the backoff time after a failure.
func (l *pollLoop) recentlyFailed(parent string) bool {
	return time.Since(l.failedAt[parent]) <= l.timing.failedParentBackoff()
}

// pollOnce makes one long poll and applies its result.
func (l *pollLoop) pollOnce(ctx context.Context, parent string) {
	callContext, cancel := context.WithTimeout(ctx, l.timing.pollTimeout())
	defer cancel()
	var page journal.Page
	request := l.request(parent)
	l.beginPoll(cancel)
	err := l.client.Call(callContext, parent, watchPath, request, nil, &page)
	suspected := l.endPoll()
	if err != nil {
		l.recordFailure(parent, err, ctx.Err() != nil || suspected)
		return
	}
	if parent != l.parent {
		l.parent = parent
		l.log.Printf("distribution: following %s", parent)
	}
	l.journal.Apply(page)
	l.position = position{parent: parent, source: page.Source, number: page.Number}
	l.recordResponse()
}

// request returns the request for the events after the position in the parent's
// journal. For a new parent it contains a digest instead, so that the parent omits the
// events that this node already has.
func (l *pollLoop) request(parent string) WatchRequest {
	request := WatchRequest{WaitMs: l.timing.pollWait().Milliseconds(), Zone: l.self.Zone, Role: l.self.Role}
	if parent == l.position.parent {
		request.Source = l.position.source
		request.Number = l.position.number
	} else if l.journal.NotEmpty() {
		request.Digest = l.journal.Digest()
	}
	return request
}

// recordFailure starts the backoff time of a parent. If the call was canceled on
// purpose, the parent is not logged as lost.
func (l *pollLoop) recordFailure(parent string, err error, canceled bool) {
	if !canceled && parent == l.parent {
		l.log.Printf("distribution: parent lost: %v", err)
		l.parent = ""
	}
	l.failedAt[parent] = time.Now()
}
