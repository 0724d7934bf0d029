package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

// newTestJournal returns a journal with a number of nodes and a placement.
func newTestJournal(source string, nodes int) *journal.Journal {
	j := journal.New(source, time.Hour, PrefixNode)
	for i := range nodes {
		appendNode(j, fmt.Sprint("edge-", i), 1)
	}
	j.Append(journal.Event{Key: KeyPlacement, Version: journal.Version{Major: 7}, Value: []byte("{}")})
	return j
}

func newTestPublisher(j *journal.Journal) *Publisher {
	return NewPublisher(PublisherConfig{Journal: j, MaxWait: time.Second})
}

func appendNode(j *journal.Journal, name string, version int64) {
	j.Append(journal.Event{Key: PrefixNode + name, Version: journal.Version{Major: version}, Value: journal.Encode(membership.Node{Name: name, Role: "edge"})})
}

func watch(t *testing.T, p *Publisher, request WatchRequest) (page journal.Page) {
	t.Helper()
	res := p.Handle(context.Background(), &httpwire.Request{Request: &http.Request{}, Body: journal.Encode(request)})
	if res.Status != 200 || json.Unmarshal(res.Body, &page) != nil {
		t.Fatalf("%d %s", res.Status, res.Body)
	}
	return page
}

// A node that changes its parent receives little more than the events it lacks,
// regardless of the number of nodes; a node without events receives all of them.
func TestNewParentSendsOnlyTheDifference(t *testing.T) {
	for _, nodes := range []int{30, 300} {
		parent, child := newTestJournal("parent", nodes), newTestJournal("child", nodes)
		for i := range 5 {
			appendNode(parent, fmt.Sprint("new-", i), 1)
		}
		appendNode(parent, "edge-3", 2)
		p := newTestPublisher(parent)
		if n := len(watch(t, p, WatchRequest{}).Events); n != nodes+6 {
			t.Errorf("of %d nodes: %d events for one that holds nothing", nodes, n)
		}
		page := watch(t, p, WatchRequest{Digest: child.Digest()})
		if n := len(page.Events); n < 6 || n > 6+6*(2+nodes/100) {
			t.Errorf("of %d nodes: %d events, 6 differ", nodes, n)
		}
		child.Apply(page)
		if n := len(watch(t, p, WatchRequest{Digest: child.Digest()}).Events); n != 0 {
			t.Errorf("of %d nodes: %d events when nothing differs", nodes, n)
		}
	}
}

// A node receives the cores and only the other nodes of its own zone, and an edge no
// handlers: the events for a node must not grow with the stores and edges of other
// zones.
func TestEventsAreFilteredByZoneAndRole(t *testing.T) {
	j := journal.New("parent", time.Hour, PrefixNode)
	for _, z := range []string{"z1", "z2", "z3"} {
		for _, n := range []membership.Node{{Name: "core-" + z, Role: "core", Zone: z}, {Name: "store-" + z, Role: "store", Zone: z}, {Name: "edge-" + z, Role: "edge", Zone: z}} {
			j.Append(journal.Event{Key: PrefixNode + n.Name, Version: journal.Version{Major: 1}, Value: journal.Encode(n), Scope: n.Scope()})
		}
		j.Append(journal.Event{Key: PrefixInstance + z, Version: journal.Version{Major: 1}, Value: []byte("{}")})
	}
	p := newTestPublisher(j)
	for role, want := range map[string]int{"store": 3 + 2 + 3, "edge": 3 + 2, "": 12} {
		request := WatchRequest{Role: role}
		if role != "" {
			request.Zone = "z2"
		}
		if n := len(watch(t, p, request).Events); n != want {
			t.Errorf("%q: %d events, not %d", role, n, want)
		}
	}
}

// Nodes that join within the batch delay are sent together; a placement is sent at
// once, along with the pending nodes.
func TestEventsThatAreNotUrgentAreBatched(t *testing.T) {
	for _, nodes := range []int{20, 200} {
		synctest.Test(t, func(t *testing.T) {
			j := newTestJournal("parent", 1)
			p := NewPublisher(PublisherConfig{Journal: j, MaxWait: time.Minute, BatchDelay: 100 * time.Millisecond})
			pages, events := 0, 0
			last := watch(t, p, WatchRequest{})
			done := make(chan struct{})
			go func() {
				defer close(done)
				for events < nodes+1 {
					last = watch(t, p, WatchRequest{Source: last.Source, Number: last.Number, WaitMs: 60000})
					pages, events = pages+1, events+len(last.Events)
				}
			}()
			for i := range nodes {
				time.Sleep(250 * time.Millisecond / time.Duration(nodes))
				appendNode(j, fmt.Sprint("new-", i), 1)
			}
			began := time.Now()
			j.Append(journal.Event{Key: KeyPlacement, Version: journal.Version{Major: 8}, Value: []byte("{}")})
			<-done
			if pages > 4 {
				t.Errorf("%d nodes within 250 ms: %d pages", nodes, pages)
			}
			if took := time.Since(began); took > 0 {
				t.Errorf("the placement is sent after %v", took)
			}
		})
	}
}
