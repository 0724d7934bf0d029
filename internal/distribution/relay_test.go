package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

// fleet is a journal that knows a number of nodes and a placement.
func fleet(source string, nodes int) *journal.Journal {
	j := journal.New(source, time.Hour, PrefixNode)
	for i := range nodes {
		join(j, fmt.Sprint("edge-", i), 1)
	}
	j.Append(journal.Event{Key: KeyPlacement, Version: journal.Version{Major: 7}, Value: []byte("{}")})
	return j
}

func join(j *journal.Journal, name string, life int64) {
	j.Append(journal.Event{Key: PrefixNode + name, Version: journal.Version{Major: life}, Value: journal.Encode(membership.Node{Name: name, Role: "edge"})})
}

func poll(t *testing.T, s *Publisher, p WatchRequest) (page journal.Page) {
	t.Helper()
	res := s.Handle(context.Background(), &httpwire.Request{Request: &http.Request{}, Body: journal.Encode(p)})
	if res.Status != 200 || json.Unmarshal(res.Body, &page) != nil {
		t.Fatalf("%d %s", res.Status, res.Body)
	}
	return page
}

// A node that changes its parent gets what it lacks, whatever the size of the
// fleet; one that holds nothing gets everything.
func TestANewParentTellsTheDifference(t *testing.T) {
	for _, nodes := range []int{30, 300} {
		parent, child := fleet("parent", nodes), fleet("child", nodes)
		for i := range 5 {
			join(parent, fmt.Sprint("new-", i), 1)
		}
		join(parent, "edge-3", 2)
		s := &Publisher{Journal: parent, MaxWait: time.Second}
		if n := len(poll(t, s, WatchRequest{}).Events); n != nodes+6 {
			t.Errorf("of %d nodes: %d events for one that holds nothing", nodes, n)
		}
		page := poll(t, s, WatchRequest{Digest: child.Digest()})
		if n := len(page.Events); n < 6 || n > 6+6*(2+nodes/100) {
			t.Errorf("of %d nodes: %d events, 6 differ", nodes, n)
		}
		child.Load(page)
		if n := len(poll(t, s, WatchRequest{Digest: child.Digest()}).Events); n != 0 {
			t.Errorf("of %d nodes: %d events when nothing differs", nodes, n)
		}
	}
}

// A node hears of the cores and of its own zone, an edge not of handlers: what
// each hears does not grow with the zones.
func TestNewsGoToThoseWhomTheyConcern(t *testing.T) {
	j := journal.New("parent", time.Hour, PrefixNode)
	for _, z := range []string{"z1", "z2", "z3"} {
		for _, n := range []membership.Node{{Name: "core-" + z, Role: "core", Zone: z}, {Name: "store-" + z, Role: "store", Zone: z}, {Name: "edge-" + z, Role: "edge", Zone: z}} {
			j.Append(journal.Event{Key: PrefixNode + n.Name, Version: journal.Version{Major: 1}, Value: journal.Encode(n), Scope: n.Scope()})
		}
		j.Append(journal.Event{Key: PrefixInstance + z, Version: journal.Version{Major: 1}, Value: []byte("{}")})
	}
	s := &Publisher{Journal: j, MaxWait: time.Second}
	for role, want := range map[string]int{"store": 3 + 2 + 3, "edge": 3 + 2, "": 12} {
		p := WatchRequest{Role: role}
		if role != "" {
			p.Zone = "z2"
		}
		if n := len(poll(t, s, p).Events); n != want {
			t.Errorf("%q: %d events, not %d", role, n, want)
		}
	}
}

// Many nodes that start at once are told together; a placement is told at once,
// and what waited goes with it.
func TestNewsThatCanWaitAreToldTogether(t *testing.T) {
	for _, nodes := range []int{20, 200} {
		synctest.Test(t, func(t *testing.T) {
			j := fleet("parent", 1)
			s := &Publisher{Journal: j, MaxWait: time.Minute, BatchDelay: 100 * time.Millisecond}
			pages, events := 0, 0
			last := poll(t, s, WatchRequest{})
			done := make(chan struct{})
			go func() {
				defer close(done)
				for events < nodes+1 {
					last = poll(t, s, WatchRequest{Source: last.Source, Number: last.Number, WaitMs: 60000})
					pages, events = pages+1, events+len(last.Events)
				}
			}()
			for i := range nodes {
				time.Sleep(250 * time.Millisecond / time.Duration(nodes))
				join(j, fmt.Sprint("new-", i), 1)
			}
			began := time.Now()
			j.Append(journal.Event{Key: KeyPlacement, Version: journal.Version{Major: 8}, Value: []byte("{}")})
			<-done
			if pages > 4 {
				t.Errorf("%d nodes within 250 ms: %d pages", nodes, pages)
			}
			if took := time.Since(began); took > 0 {
				t.Errorf("the placement is told after %v", took)
			}
		})
	}
}

// The first node of a zone with several cores stays with one of them.
func TestAParentAmongCoresOfTheZoneIsKept(t *testing.T) {
	f := &Subscriber{Self: membership.Node{Name: "store-1", Role: "store", Zone: "a"}, nodes: map[string]membership.Node{}}
	for i := range 4 {
		name := fmt.Sprint("core-", i)
		f.nodes[name] = membership.Node{Name: name, Role: "core", Address: name + ":1", Zone: "a"}
	}
	first := f.Parents()
	for range 50 {
		if got := f.Parents(); !slices.Equal(got, first) {
			t.Fatalf("%v, then %v", first, got)
		}
	}
}
