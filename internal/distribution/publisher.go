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

// WatchRequest requests the events after a position in a publisher's journal.
type WatchRequest struct {
	Source string `json:"source"` // of the journal that Number refers to; empty in the first request to this publisher
	Number uint64 `json:"number"`
	WaitMs int64  `json:"wait-ms"`          // how long the subscriber waits for an event, in milliseconds
	Digest []byte `json:"digest,omitempty"` // of the subscriber's journal, in the first request to this publisher
	Zone   string `json:"zone,omitempty"`   // of the subscriber
	Role   string `json:"role,omitempty"`   // of the subscriber
}

// wants reports whether the subscriber needs an event. It needs the cores and the
// nodes of its own zone, from which its tree is derived. It needs handler instances
// unless it is an edge, which delivers no messages and has no stores below it.
func (r *WatchRequest) wants(e journal.Event) bool {
	if r.Role == roleEdge && strings.HasPrefix(e.Key, PrefixInstance) {
		return false
	}
	return e.Scope == "" || r.Zone == "" || e.Scope == r.Zone
}

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Journal *journal.Journal
	MaxWait time.Duration // upper limit of a long poll, whatever the subscriber requests
	// BatchDelay is how long non-urgent events are batched. If hundreds of nodes start
	// at once, unbatched events would take a separate response for each pair of nodes.
	BatchDelay time.Duration
	// UpToDate reports whether this process itself receives events; nil: always.
	UpToDate func() bool
	// UpToDateWait is how long a request waits until UpToDate. If a starting core
	// rejected requests at once, all nodes would keep retrying.
	UpToDateWait time.Duration
	// Warming reports whether this process became up to date only recently; nil:
	// never. Responses to edges are then delayed, so that the stores, which edges
	// depend on, are served first.
	Warming func() bool
}

// Publisher answers watch requests from a journal. It is safe for concurrent use.
type Publisher struct{ config PublisherConfig }

// NewPublisher returns a publisher. It panics if the journal or MaxWait is missing,
// which is a programming error.
func NewPublisher(config PublisherConfig) *Publisher {
	if config.Journal == nil || config.MaxWait <= 0 {
		panic("distribution: PublisherConfig requires Journal and MaxWait")
	}
	return &Publisher{config: config}
}

// Handle serves one watch request. It waits until there is an event, the subscriber's
// wait expires, or ctx ends.
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
	return p.watch(ctx, r, &request, timer.C)
}

// encodingCopies is how many times the size of a page encoding it takes: the buffer grows
// while it is filled.
const encodingCopies = 2

func notUpToDate() *httpwire.Response {
	return httpwire.Problem(503, "this node is not up to date itself")
}

// watch waits for events that the subscriber wants. Urgent events are sent at once,
// together with any others. The others wait until the oldest of them is BatchDelay
// old. When waitExpired fires, watch responds with the events at hand.
func (p *Publisher) watch(ctx context.Context, r *httpwire.Request, request *WatchRequest, waitExpired <-chan time.Time) *httpwire.Response {
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
			if !r.ReserveResponse(encodingCopies * page.EncodedSize()) {
				return httpwire.Unavailable()
			}
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
