package registry

import (
	"context"
	"slices"
	"sync"
	"time"

	"saltreel/internal/journal"
	"saltreel/internal/timeutil"
)

// syncProgress is what was sent to each of the other cores, by address. A core that
// has restarted may lack it: it loads from the others, and asks for the values that
// it is missing. So nothing is sent again because a call has failed, which would be
// most where the cores have the least time for it.
type syncProgress struct {
	mu     sync.Mutex
	sentAt map[string]time.Time
	sent   map[string]map[string]journal.Version // by key of the entry
}

func newSyncProgress() syncProgress {
	return syncProgress{sentAt: map[string]time.Time{}, sent: map[string]map[string]journal.Version{}}
}

// begin gives what was sent to a peer, and up to which moment.
func (p *syncProgress) begin(peer string) (after time.Time, sent map[string]journal.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent[peer] == nil {
		p.sent[peer] = map[string]journal.Version{}
	}
	return p.sentAt[peer], p.sent[peer]
}

// version is the version of a key that is among what was sent.
func (p *syncProgress) version(sent map[string]journal.Version, key string) journal.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v, ok := sent[key]; ok {
		return v
	}
	return unsent
}

// advance notes what a peer has merged, but for the values that it is missing.
func (p *syncProgress) advance(peer string, at time.Time, sent map[string]journal.Version, entries []Entry, missing []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentAt[peer] = at
	for _, entry := range entries {
		sent[entry.Key] = entry.Version
	}
	for _, key := range missing {
		delete(sent, key)
	}
}

// SyncWithPeers begins one round of anti-entropy: each of the other cores is
// sent, in the background, what this core received since the round before.
func (r *Registry) SyncWithPeers() {
	for _, peer := range r.Peers() {
		r.config.Go(func(ctx context.Context) { r.syncWith(ctx, peer) })
	}
}

func (r *Registry) syncWith(ctx context.Context, peer string) {
	after, sent := r.progress.begin(peer)
	entries, now := r.table.updatedSince(after, func(key string) journal.Version { return r.progress.version(sent, key) })
	ctx, cancel := context.WithTimeout(ctx, r.timing.syncTimeout())
	defer cancel()
	var out SyncResponse
	if err := r.config.Client.Call(ctx, peer, pathSync, SyncRequest{From: r.config.Address, Entries: entries}, nil, &out); err != nil {
		return // what was not received goes with the next round
	}
	r.progress.advance(peer, now, sent, entries, out.MissingValues)
}

// pathSync is the path of the call that HandleSync answers.
const pathSync = "/exchange"

// outbox gathers entries that go to all other cores together.
type outbox struct {
	mu      sync.Mutex
	entries []Entry
}

// add says whether the entry is the first one.
func (o *outbox) add(entry Entry) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries = append(o.entries, entry)
	return len(o.entries) == 1
}

func (o *outbox) drain() []Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	entries := o.entries
	o.entries = nil
	return entries
}

// broadcast sends an entry to all other cores and does not wait for them; what
// is lost goes with the next round of anti-entropy. Entries that come within a
// moment go together: when many nodes start at once, each core receives all of
// them at once.
func (r *Registry) broadcast(entry Entry) {
	if !r.outbox.add(entry) {
		return
	}
	r.config.Go(func(ctx context.Context) {
		timeutil.Sleep(ctx, r.timing.broadcastDelay())
		r.sendOutbox()
	})
}

func (r *Registry) sendOutbox() {
	entries := r.outbox.drain()
	for _, peer := range r.Peers() {
		r.config.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, r.timing.syncTimeout())
			defer cancel()
			_ = r.config.Client.Call(ctx, peer, pathSync, SyncRequest{From: r.config.Address, Entries: entries}, nil, nil)
		})
	}
}

// HandleSync answers another core's part of anti-entropy. Tombstones among the
// entries are on disk when it returns.
func (r *Registry) HandleSync(ctx context.Context, in *SyncRequest, _ []byte) (*SyncResponse, error) {
	out := &SyncResponse{Disk: r.config.Self().Disk}
	if in.View != nil {
		if err := r.config.Chain.InstallView(ctx, *in.View); err != nil {
			return nil, err
		}
	}
	if in.PersistForEpoch != nil {
		return out, r.persistForEpoch(*in.PersistForEpoch, in.Entries)
	}
	usable := in.Entries[:0]
	for _, entry := range in.Entries {
		if r.table.needsValue(entry) {
			out.MissingValues = append(out.MissingValues, entry.Key)
		} else {
			usable = append(usable, entry)
		}
	}
	if err := r.merge(usable); err != nil {
		return nil, err
	}
	switch in.Want {
	case "":
	case WantPage:
		out.Loaded = r.completeness.isLoaded()
		out.Entries, out.More = r.table.page(in.After)
	default:
		r.addSnapshot(out, in.Want)
	}
	return out, nil
}

// addSnapshot adds what a core that loads asks for.
func (r *Registry) addSnapshot(out *SyncResponse, want string) {
	// The view comes first: a tombstone that is persisted for it later is not
	// certain to be among the entries.
	view := r.config.Chain.View()
	out.View = &view
	out.CompleteEpoch = r.completeness.currentEpoch()
	out.Entries = r.table.all()
	if want == WantTombstones {
		out.Entries = slices.DeleteFunc(out.Entries, func(entry Entry) bool { return !entry.isTombstone() })
	}
}

// merge merges entries of another core; tombstones are on disk when it returns.
func (r *Registry) merge(entries []Entry) error {
	var tombstones []Entry
	for _, entry := range entries {
		if r.table.merge(entry) && isNode(entry.Key) {
			r.config.OnNodeChanged()
		}
		if entry.isTombstone() && entry.Value != nil {
			tombstones = append(tombstones, entry)
		}
	}
	return r.tombstones.persist(tombstones)
}
