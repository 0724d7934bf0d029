package registry

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"saltreel/internal/chain"
	"saltreel/internal/journal"
)

// fillTable adds n instances to a table.
func fillTable(t *table, n int) {
	for i := range n {
		t.merge(Entry{Key: fmt.Sprintf("instance/%06d", i), Version: version(1, 0), Value: journal.Encode(i)})
	}
}

func TestPagesContainEachEntryOnce(t *testing.T) {
	for _, n := range []int{0, 1, maxPageEntries, maxPageEntries + 1, 3*maxPageEntries - 1} {
		table := newTestTable("a")
		fillTable(table, n)
		seen := map[string]bool{}
		after, pages := "", 0
		for more := true; more; pages++ {
			var entries []Entry
			entries, more = table.page(after)
			if len(entries) > maxPageEntries {
				t.Errorf("%d entries: got a page of %d", n, len(entries))
			}
			for _, entry := range entries {
				if seen[entry.Key] || entry.Key <= after || entry.Value == nil {
					t.Errorf("%d entries: unexpected %+v after %q", n, entry, after)
				}
				seen[entry.Key] = true
				after = entry.Key
			}
		}
		if want := max(1, (n+maxPageEntries-1)/maxPageEntries); len(seen) != n || pages != want {
			t.Errorf("%d entries: %d in %d pages", n, len(seen), pages)
		}
	}
}

// pageSource is a Caller that serves pages of the tables of other cores.
type pageSource struct {
	tables    map[string]*table // by address
	loaded    map[string]bool
	pagesLeft map[string]int // pages that each core still sends before its calls fail
	calls     int
}

func (s *pageSource) Call(_ context.Context, address, _ string, in any, _ []byte, out any) error {
	request := in.(SyncRequest)
	if s.pagesLeft[address] == 0 || request.Want != WantPage {
		return errors.New("unreachable")
	}
	s.pagesLeft[address]--
	s.calls++
	response := out.(*SyncResponse)
	response.Loaded = s.loaded[address]
	response.Entries, response.More = s.tables[address].page(request.After)
	return nil
}

// The pages come from one loaded core. If it fails, loading resumes after its last page
// with the next core.
func TestPageLoadResumesWithTheNextCore(t *testing.T) {
	const entries = 4 * maxPageEntries
	for name, c := range map[string]struct {
		loaded    map[string]bool
		pagesLeft map[string]int
		calls     int
		complete  bool
	}{
		"first core has all":      {map[string]bool{"b": true, "c": true}, map[string]int{"b": 9, "c": 9}, 4, true},
		"first core is starting":  {map[string]bool{"c": true}, map[string]int{"b": 9, "c": 9}, 5, true},
		"first core fails midway": {map[string]bool{"b": true, "c": true}, map[string]int{"b": 3, "c": 9}, 4, true},
		"all cores are starting":  {nil, map[string]int{"b": 9, "c": 9}, 2, false},
		"all cores fail midway":   {map[string]bool{"b": true, "c": true}, map[string]int{"b": 1, "c": 1}, 2, false},
		"no core responds":        {map[string]bool{"b": true}, nil, 0, false},
	} {
		r := newTestRegistry(t, chain.View{Voters: members("a", "b", "c")})
		source := &pageSource{tables: map[string]*table{}, loaded: c.loaded, pagesLeft: c.pagesLeft}
		for _, peer := range []string{"b", "c"} {
			source.tables[peer] = newTestTable(peer)
			fillTable(source.tables[peer], entries)
		}
		r.config.Client = source
		err := r.loadPages(t.Context(), &pageCursor{})
		if (err == nil) != c.complete || source.calls != c.calls {
			t.Errorf("%s: %v after %d calls", name, err, source.calls)
		}
		if all := len(r.table.all()); c.complete && all != entries {
			t.Errorf("%s: %d entries", name, all)
		}
	}
}
