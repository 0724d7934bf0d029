package gateway

import (
	"testing"
	"time"

	"saltreel/internal/linewire"
)

// RETRY guarantees that a number is not stored and never will be, which a gateway does not know
// of a number that it has no room for: an earlier attempt may have been accepted.
func TestFullQueueGuaranteesNothing(t *testing.T) {
	p := newPublishers(t.Context(), nil, nil)
	from := publisherTopic{"client", "news.harbour"}
	for n := range int64(maxQueued) {
		p.queues[from] = append(p.queues[from], &publication{number: n + 1})
	}
	var got string
	p.add(from, &publication{number: maxQueued + 1, deadline: time.Now().Add(time.Minute), respond: func(frame []byte) { got = string(frame) }})
	if want := string(linewire.AppendReject(nil, linewire.Publish, from.topic, maxQueued+1, linewire.Unknown)); got != want {
		t.Errorf("response %q, want %q", got, want)
	}
}
