package distribution

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/timeutil"
)

// watchPath is the path of the call by which a subscriber watches a publisher.
const watchPath = "/news"

// WatchRequest asks for the events after a position in a publisher's journal.
type WatchRequest struct {
	Source string `json:"source"` // of the journal that Number refers to; empty if this publisher was never asked
	Number uint64 `json:"number"`
	WaitMs int64  `json:"wait-ms"`          // how long the subscriber waits for an event, in milliseconds
	Digest []byte `json:"digest,omitempty"` // what the subscriber holds, if it never asked this publisher
	Zone   string `json:"zone,omitempty"`   // of the subscriber
	Role   string `json:"role,omitempty"`   // of the subscriber
}

// wants reports whether an event concerns the subscriber: of the nodes, the
// cores and those of its own zone, from which its tree is derived; handlers,
// unless it is an edge, which delivers nothing and has no stores below it.
func (r *WatchRequest) wants(e journal.Event) bool {
	if r.Role == roleEdge && strings.HasPrefix(e.Key, PrefixInstance) {
		return false
	}
	return e.Scope == "" || r.Zone == "" || e.Scope == r.Zone
}

// PublisherConfig is what a Publisher needs.
type PublisherConfig struct {
	Journal *journal.Journal
	MaxWait time.Duration // bounds a long poll, whatever the subscriber asks for
	// BatchDelay is how long events that are not urgent are gathered. Where
	// hundreds of nodes start at once, sending each of them every other one
	// separately would take a response for each pair.
	BatchDelay time.Duration
	// UpToDate reports whether this process itself receives events. Nil: always.
	UpToDate func() bool
	// UpToDateWait is how long a request waits until UpToDate. A core that just
	// started would be asked by all nodes again and again if it refused at once.
	UpToDateWait time.Duration
	// Warming reports that this process became up to date only just now. Then
	// edges, which can do nothing without stores, are answered after those.
	// Nil: never.
	Warming func() bool
}

// Publisher answers watch requests from a journal.
type Publisher struct{ config PublisherConfig }

// NewPublisher makes a publisher. It panics if the journal or MaxWait is missing,
// which is an error of the program.
func NewPublisher(config PublisherConfig) *Publisher {
	if config.Journal == nil || config.MaxWait <= 0 {
		panic("distribution: a publisher needs a journal and a bound of its long polls")
	}
	return &Publisher{config: config}
}

// Handle answers one watch request; it waits until there is an event, the
// subscriber's wait is over, or ctx ends.
func (p *Publisher) Handle(ctx context.Context, r *httpwire.Request) *httpwire.Response {
	var request WatchRequest
	if err := json.Unmarshal(r.Body, &request); err != nil {
		return httpwire.Problem(400, "the watch request cannot be read: "+err.Error())
	}
	timer := time.NewTimer(min(time.Duration(request.WaitMs)*time.Millisecond, p.config.MaxWait))
	defer timer.Stop()
	if !p.waitUpToDate(ctx) {
		return notUpToDate()
	}
	if request.Source == "" && request.Role == roleEdge && p.config.Warming != nil && p.config.Warming() {
		timeutil.Sleep(ctx, p.config.BatchDelay)
	}
	return p.watch(ctx, &request, timer.C)
}

func notUpToDate() *httpwire.Response {
	return httpwire.Problem(503, "this node is not up to date itself")
}

// watch waits for events that the subscriber wants. Urgent ones are sent at
// once; the others wait until the oldest of them is BatchDelay old, and go with
// any urgent one. Once waitOver fires it answers with what there is.
func (p *Publisher) watch(ctx context.Context, request *WatchRequest, waitExpired <-chan time.Time) *httpwire.Response {
	respondNow := false
	for {
		changed, urgentChange := p.config.Journal.Changes()
		page, urgent := p.config.Journal.EventsSince(request.Source, request.Number, request.Digest, request.wants)
		var batchDue <-chan time.Time
		if len(page.Events) > 0 {
			remaining := p.config.BatchDelay - time.Since(page.Oldest())
			if urgent || remaining <= 0 {
				respondNow = true
			}
			batchDue, changed = time.After(remaining), urgentChange
		}
		if respondNow || page.Source != request.Source {
			return &httpwire.Response{Status: 200, Body: page.Encode()}
		}
		select {
		case <-changed:
		case <-batchDue:
		case <-waitExpired:
			respondNow = true
		case <-ctx.Done():
			return httpwire.Problem(503, "stopping")
		}
		if !p.waitUpToDate(ctx) {
			return notUpToDate()
		}
	}
}

// waitUpToDate waits until this process is up to date, and reports whether it is.
func (p *Publisher) waitUpToDate(ctx context.Context) bool {
	if p.config.UpToDate == nil {
		return true
	}
	for start := time.Now(); !p.config.UpToDate(); {
		changed, _ := p.config.Journal.Changes()
		remaining := p.config.UpToDateWait - time.Since(start)
		if remaining <= 0 || ctx.Err() != nil {
			return false
		}
		timer := time.NewTimer(min(remaining, p.config.UpToDateWait/4)) // becoming up to date need not append an event
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return true
}
