package registry

import (
	"context"
	"errors"
	"maps"
	"slices"
)

// A core that starts takes the entries of another core page by page. All of them at
// once, from all cores, take longer at some size than one call may, and cores that
// try again and again keep each other from ever answering.

// maxPageEntries bounds the entries of a page, so that the time that one takes does
// not grow with the system: some 100 KB.
const maxPageEntries = 256

// page lists the first entries behind a key, in the order of the keys, with their
// values; more says that others follow.
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

// errNoPages says that no other core that is loaded has sent all of its pages.
var errNoPages = errors.New("no core that is loaded has sent its entries")

// pageCursor is how far the loading of the entries is. It goes on where it was when a
// core that sent pages does not answer any more: what another one has of the keys
// before comes by anti-entropy.
type pageCursor struct{ after string }

// loadPages takes the pages that are left from the first core that sends them. The
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
