// Package distribution owns the news: the tree that the nodes form among themselves
// and the long polls by which a journal follows the one of its parent.
package distribution

import (
	"context"
	"encoding/json"
	"log"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"saltreel/internal/rpc"

	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
	"saltreel/internal/ring"
	"saltreel/internal/timeutil"
)

// Keys of the news.
const (
	KeyConfiguration = "configuration"
	KeyPlacement     = "placement"
	PrefixInstance   = "instance/"
	PrefixNode       = "node/"
)

// Poll is a question for news.
type WatchRequest struct {
	Source string `json:"source"`
	Number uint64 `json:"number"`
	WaitMs int64  `json:"wait-ms"`
	Digest []byte `json:"digest,omitempty"` // what the asker holds, if it never asked this source before
	Zone   string `json:"zone,omitempty"`   // of the asker
	Role   string `json:"role,omitempty"`
}

// wants tells whether an event concerns the asker: of the nodes the cores and
// those of its zone, from whom its tree is made, and handlers unless it is an
// edge, which delivers nothing. An edge has no stores below it.
func (p *WatchRequest) wants(e journal.Event) bool {
	if p.Role == "edge" && strings.HasPrefix(e.Key, PrefixInstance) {
		return false
	}
	return e.Scope == "" || p.Zone == "" || e.Scope == p.Zone
}

// Source answers polls from a journal.
type Publisher struct {
	Journal    *journal.Journal
	UpToDate   func() bool // whether this node hears the news itself
	MaxWait    time.Duration
	BatchDelay time.Duration // how long news that can wait are gathered before they are told
	// Patience is how long a poll waits for this node to hear the news itself;
	// a core that just started is asked by all nodes at once otherwise, again
	// and again.
	UpToDateWait time.Duration
	// Young tells that this node hears the news only just now: then edges, who
	// can do nothing without the stores, are told after those.
	Warming func() bool
}

// fresh waits until this node hears the news, and tells whether it does.
func (s *Publisher) fresh(ctx context.Context) bool {
	for began := time.Now(); s.UpToDate != nil && !s.UpToDate(); {
		changed, _ := s.Journal.Changes()
		left := s.UpToDateWait - time.Since(began)
		if left <= 0 || ctx.Err() != nil {
			return false
		}
		timer := time.NewTimer(min(left, s.UpToDateWait/4))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return true
}

// Handle answers one poll; it waits until there is something to tell. Where
// hundreds of nodes start at once, telling each that each of them is there would
// be a call for each pair: what can wait is told together.
func (s *Publisher) Handle(ctx context.Context, r *httpwire.Request) *httpwire.Response {
	var in WatchRequest
	if err := json.Unmarshal(r.Body, &in); err != nil {
		return httpwire.Problem(400, "the poll cannot be read: "+err.Error())
	}
	timer := time.NewTimer(min(time.Duration(in.WaitMs)*time.Millisecond, s.MaxWait))
	defer timer.Stop()
	expired := false
	for first := true; ; first = false {
		if !s.fresh(ctx) {
			return httpwire.Problem(503, "this node hears no news itself")
		}
		if first && in.Source == "" && in.Role == "edge" && s.Warming != nil && s.Warming() {
			timeutil.Sleep(ctx, s.BatchDelay)
		}
		changed, urgent := s.Journal.Changes()
		page, prompt := s.Journal.Since(in.Source, in.Number, in.Digest, in.wants)
		var linger <-chan time.Time
		if len(page.Events) > 0 {
			left := s.BatchDelay - time.Since(page.Oldest())
			if prompt || left <= 0 {
				expired = true
			}
			linger, changed = time.After(left), urgent
		}
		if expired || page.Source != in.Source {
			return &httpwire.Response{Status: 200, Body: page.Encode()}
		}
		select {
		case <-changed:
		case <-linger:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return httpwire.Problem(503, "stopping")
		}
	}
}

// Follower keeps a journal up to date from a parent.
type Subscriber struct {
	Self           membership.Node
	Journal        *journal.Journal
	Client         *rpc.Client
	Cores          []string // internal addresses, the last resort
	ContactTimeout time.Duration
	Log            *log.Logger

	mu     sync.Mutex
	nodes  map[string]membership.Node
	cores  map[string]string // name to address
	heard  time.Time
	lost   bool // no parent answers
	asking context.CancelFunc
	parent string // the one asked now
	doubts string // the parent that is not to be asked next

	doubted time.Time
}

// Doubt tells that the news may be late: somebody waits for what they should
// have told. Another parent is asked at once, but only once for as long as the
// one before is left alone: it is no help to ask all cores in turn.
func (f *Subscriber) SuspectParent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asking != nil && time.Since(f.doubted) > f.ContactTimeout/2 {
		f.doubts, f.doubted = f.parent, time.Now()
		f.asking()
	}
}

// Seeds replaces the addresses of last resort.
func (f *Subscriber) SetSeeds(cores []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Cores = cores
}

// Known are the addresses of the cores that the news told of, in order.
func (f *Subscriber) KnownCores() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Values(f.cores))
}

// fanout is how many children a relay has.
const fanout = 3

// Fresh tells whether a parent was heard lately.
func (f *Subscriber) UpToDate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lost && !f.heard.IsZero() && time.Since(f.heard) < f.ContactTimeout*5/8
}

// Parents orders the addresses to ask: the parent in the tree of the zone,
// then the cores, the nearest one first.
func (f *Subscriber) Parents() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var zone []membership.Node
	var near, far []string
	known := map[string]bool{}
	for _, n := range f.nodes {
		if n.Role == "core" {
			known[n.Address] = true
			if n.Zone == f.Self.Zone {
				near = append(near, n.Address)
			} else {
				far = append(far, n.Address)
			}
		} else if n.Zone == f.Self.Zone && n.Name != f.Self.Name && !n.Draining {
			zone = append(zone, n)
		}
	}
	sort.Strings(far)
	for _, c := range f.Cores {
		if !known[c] {
			far = append(far, c)
		}
	}
	// Nodes begin at different ones, each always at the same: to whom goes from
	// one to another is told all that the two journals do not share.
	turn := func(list []string) []string {
		if len(list) < 2 {
			return list
		}
		k := int(ring.Hash(f.Self.Name) % uint64(len(list)))
		return append(list[k:len(list):len(list)], list[:k]...)
	}
	sort.Strings(near)
	cores := append(turn(near), turn(far)...)
	// Stores sit at the top of the zone's tree: they need the news first.
	place := func(n membership.Node) (int, string) {
		if n.Role == "store" {
			return 0, n.Name
		}
		return 1, n.Name
	}
	zone = append(zone, f.Self)
	sort.Slice(zone, func(i, j int) bool {
		ri, ni := place(zone[i])
		rj, nj := place(zone[j])
		return ri < rj || ri == rj && ni < nj
	})
	for i, n := range zone {
		if n.Name == f.Self.Name && i > 0 {
			return append([]string{zone[(i-1)/fanout].Address}, cores...)
		}
	}
	return cores
}

// Run follows until ctx ends.
func (f *Subscriber) Run(ctx context.Context) {
	f.mu.Lock()
	f.nodes, f.cores = map[string]membership.Node{}, map[string]string{}
	f.mu.Unlock()
	f.Journal.Fold(func(e journal.Event) {
		if name, ok := cutPrefix(e.Key, PrefixNode); ok {
			f.mu.Lock()
			if e.IsDeleted() {
				delete(f.nodes, name)
				delete(f.cores, name)
			} else {
				n := journal.Decode[membership.Node](e)
				if f.nodes[name] = n; n.Role == "core" {
					f.cores[name] = n.Address
				}
			}
			f.mu.Unlock()
		}
	})
	wait := f.ContactTimeout / 4
	var current string
	var looked time.Time
	at := map[string]journal.Page{}
	bad := map[string]time.Time{}
	for ctx.Err() == nil {
		// The parent is looked for again now and then, not with each node that
		// comes or goes: while many do, the tree would never settle.
		target := current
		if target == "" || time.Since(bad[target]) <= f.ContactTimeout/2 || time.Since(looked) > f.ContactTimeout/4 {
			looked = time.Now().Add(-rand.N(f.ContactTimeout / 16))
			target = ""
			for _, p := range f.Parents() {
				if time.Since(bad[p]) > f.ContactTimeout/2 {
					target = p
					break
				}
			}
		}
		if target == "" {
			f.mu.Lock()
			f.lost = true
			f.mu.Unlock()
			clear(bad)
			timeutil.Sleep(ctx, f.ContactTimeout/80+rand.N(f.ContactTimeout/80))
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, wait+f.ContactTimeout/8)
		page := journal.Page{}
		last, asked := at[target]
		poll := WatchRequest{Source: last.Source, Number: last.Number, WaitMs: wait.Milliseconds(), Zone: f.Self.Zone, Role: f.Self.Role}
		if !asked && f.Journal.NotEmpty() {
			poll.Digest = f.Journal.Digest()
		}
		f.mu.Lock()
		f.asking, f.parent, f.doubts = cancel, target, ""
		f.mu.Unlock()
		err := f.Client.Call(cctx, target, "/news", poll, nil, &page)
		cancel()
		f.mu.Lock()
		f.asking = nil
		doubted := f.doubts == target
		f.mu.Unlock()
		if err != nil {
			if ctx.Err() == nil && !doubted && target == current {
				f.Log.Printf("relay: parent lost: %v", err)
				current = ""
			}
			bad[target] = time.Now()
			continue
		}
		if target != current {
			current = target
			f.Log.Printf("relay: following %s", target)
		}
		f.Journal.Load(page)
		at = map[string]journal.Page{target: {Source: page.Source, Number: page.Number}}
		f.mu.Lock()
		f.heard, f.lost = time.Now(), false
		f.mu.Unlock()
	}
}

func cutPrefix(s, prefix string) (string, bool) {
	if len(s) > len(prefix) && s[:len(prefix)] == prefix {
		return s[len(prefix):], true
	}
	return "", false
}
