package distribution

import (
	"context"
	"time"

	"saltreel/internal/journal"
)

// following is the state of Subscriber.Run, which alone uses it.
type following struct {
	*Subscriber
	parent     string               // that answered last; empty after it failed
	nextChoice time.Time            // when a parent that answers is chosen anew
	failedAt   map[string]time.Time // by address
	position   position
}

// position is up to where the journal of one parent was read.
type position struct {
	parent string
	source string
	number uint64
}

// chooseParent returns the address to poll next, or none if all of them failed.
func (f *following) chooseParent() string {
	if f.parent != "" && !f.avoided(f.parent) && !time.Now().After(f.nextChoice) {
		return f.parent
	}
	f.nextChoice = f.timing.nextChoice(time.Now())
	for _, candidate := range f.parents() {
		if !f.avoided(candidate) {
			return candidate
		}
	}
	return ""
}

// avoided reports whether a parent failed so recently that it is not asked.
func (f *following) avoided(parent string) bool {
	return time.Since(f.failedAt[parent]) <= f.timing.avoidance()
}

// pollOnce makes one long poll and applies its result.
func (f *following) pollOnce(ctx context.Context, parent string) {
	callContext, cancel := context.WithTimeout(ctx, f.timing.pollTimeout())
	defer cancel()
	var page journal.Page
	request := f.request(parent)
	f.beginPoll(cancel)
	err := f.client.Call(callContext, parent, watchPath, request, nil, &page)
	suspected := f.endPoll()
	if err != nil {
		f.parentFailed(parent, err, ctx.Err() != nil || suspected)
		return
	}
	if parent != f.parent {
		f.parent = parent
		f.log.Printf("distribution: following %s", parent)
	}
	f.journal.Apply(page)
	f.position = position{parent: parent, source: page.Source, number: page.Number}
	f.noteResponse()
}

// request asks for what follows the position in the parent's journal. A parent
// that was not asked before leaves out what the digest shows to be here.
func (f *following) request(parent string) WatchRequest {
	request := WatchRequest{WaitMs: f.timing.pollWait().Milliseconds(), Zone: f.self.Zone, Role: f.self.Role}
	if parent == f.position.parent {
		request.Source = f.position.source
		request.Number = f.position.number
	} else if f.journal.NotEmpty() {
		request.Digest = f.journal.Digest()
	}
	return request
}

// parentFailed avoids a parent for a while. One whose call was cancelled on
// purpose is not reported as lost.
func (f *following) parentFailed(parent string, err error, cancelled bool) {
	if !cancelled && parent == f.parent {
		f.log.Printf("distribution: parent lost: %v", err)
		f.parent = ""
	}
	f.failedAt[parent] = time.Now()
}
