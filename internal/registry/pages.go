package registry

import (
	"context"
	"errors"
	"maps"
	"slices"
)

// A core that starts loads the entries of another core page by page. Loading all
// entries at once, from all cores, exceeds the timeout of a call beyond some size, and
// the repeated attempts of several starting cores overload each other so that none
// ever succeeds.

// maxPageEntries bounds the entries of a page to some 100 KB, so that the time to
// serve one does not grow with the system.
const maxPageEntries = 256

// page returns the first entries after a key, in key order and with their values.
// more reports whether others follow.
func (t *table) page(after string) (entries []Entry, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := slices.Sorted(maps.Keys(t.records))
	first, found := slices.BinarySearch(keys, after)
	if found {
		first++
	}
	keys = keys[first:]
	more = len(keys) > maxPageEntries
	if more {
		keys = keys[:maxPageEntries]
	}
	for _, key := range keys {
		entries = append(entries, t.records[key].entry(key))
	}
	return entries, more
}

// errNoPages reports that no loaded core has sent all of its pages.
var errNoPages = errors.New("no loaded core sent all of its entries")

// pageCursor is the position up to which the entries have been loaded. Loading resumes
// there with another core if one stops responding. Entries with earlier keys that the
// first core lacked are received by anti-entropy.
type pageCursor struct{ after string }

// loadPages loads the remaining pages from the first core that sends them all. The
// error is errNoPages.
func (r *Registry) loadPages(ctx context.Context, cursor *pageCursor) error {
	for _, peer := range r.loadPeers(r.config.Chain.View()) {
		for {
			response, err := r.fetchPage(ctx, peer, cursor.after)
			if err != nil || !response.Loaded || r.merge(response.Entries) != nil {
				break
			}
			if !response.More {
				return nil
			}
			cursor.after = response.Entries[len(response.Entries)-1].Key
		}
	}
	return errNoPages
}

func (r *Registry) fetchPage(ctx context.Context, peer, after string) (*SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timing.loadTimeout())
	defer cancel()
	var out SyncResponse
	err := r.config.Client.Call(ctx, peer, pathSync, SyncRequest{From: r.config.Address, Want: WantPage, After: after}, nil, &out)
	return &out, err
}
