package registry

import (
	"context"
	"slices"
	"sync"
	"time"

	"saltreel/internal/journal"
	"saltreel/internal/timeutil"
)

// syncProgress records what has been sent to each of the other cores, by address. A
// core that has restarted may lack some of it, but it loads from the others and
// requests the missing values. A failed call therefore causes no full resend, which
// would be largest when the cores are most loaded.
type syncProgress struct {
	mu     sync.Mutex
	sentAt map[string]time.Time
	sent   map[string]map[string]journal.Version // by entry key
}

func newSyncProgress() syncProgress {
	return syncProgress{sentAt: map[string]time.Time{}, sent: map[string]map[string]journal.Version{}}
}

// begin returns what has been sent to a peer, and up to which time.
func (p *syncProgress) begin(peer string) (after time.Time, sent map[string]journal.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent[peer] == nil {
		p.sent[peer] = map[string]journal.Version{}
	}
	return p.sentAt[peer], p.sent[peer]
}

// version returns the version of a key that was sent last, or unsent if none was.
func (p *syncProgress) version(sent map[string]journal.Version, key string) journal.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v, ok := sent[key]; ok {
		return v
	}
	return unsent
}

// advance records what a peer has merged, except for the values that it is missing.
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

// SyncWithPeers starts a round of anti-entropy in the background: it sends to each of
// the other cores what this core received since the previous round.
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
		return // retried in the next round
	}
	r.progress.advance(peer, now, sent, entries, out.MissingValues)
}

// pathSync is the path of the call served by HandleSync.
const pathSync = "/exchange"

// outbox batches entries to be broadcast to all other cores.
type outbox struct {
	mu      sync.Mutex
	entries []Entry
}

// add appends an entry and reports whether it is the first one in the batch.
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

// broadcast sends an entry to all other cores without waiting for them. If a call fails,
// the next round of anti-entropy sends the entry again. Entries that follow within
// broadcastDelay are sent together, so that the start of many nodes at the same time
// does not cause a call to each core for each of them.
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

// HandleSync serves the anti-entropy call of another core. Tombstones among the
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

// addSnapshot adds the view and the entries that a loading core requested.
func (r *Registry) addSnapshot(out *SyncResponse, want string) {
	// The view is read before the entries, so that they contain every tombstone that this
	// core persisted for an earlier view. A view read after the entries could be newer
	// than they are.
	view := r.config.Chain.View()
	out.View = &view
	out.CompleteEpoch = r.completeness.completedEpoch()
	out.Entries = r.table.all()
	if want == WantTombstones {
		out.Entries = slices.DeleteFunc(out.Entries, func(entry Entry) bool { return !entry.isTombstone() })
	}
}

// merge merges entries of another core. Tombstones are on disk when it returns.
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
