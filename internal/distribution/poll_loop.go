package distribution

import (
	"context"
	"time"

	"saltreel/internal/journal"
)

// pollLoop is the state of Subscriber.Run, which alone uses it.
type pollLoop struct {
	*Subscriber
	parent     string               // that answered last; empty after it failed
	reselectAt time.Time            // when a parent that answers is chosen anew
	failedAt   map[string]time.Time // by address
	position   position
}

// position is up to where the journal of one parent was read.
type position struct {
	parent string
	source string
	number uint64
}

// selectParent returns the address to poll next, or none if all of them failed.
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

// recentlyFailed reports whether a parent failed so recently that it is not asked.
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

// request asks for what follows the position in the parent's journal. A parent
// that was not asked before leaves out what the digest shows to be here.
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

// recordFailure avoids a parent for a while. One whose call was cancelled on
// purpose is not reported as lost.
func (l *pollLoop) recordFailure(parent string, err error, cancelled bool) {
	if !cancelled && parent == l.parent {
		l.log.Printf("distribution: parent lost: %v", err)
		l.parent = ""
	}
	l.failedAt[parent] = time.Now()
}
