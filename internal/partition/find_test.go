package partition

import (
	"errors"
	"testing"

	"saltreel/internal/placement"
)

// A store may only report a message as unknown if no other store can have it.
func TestFindIsSureOnlyWithABackup(t *testing.T) {
	for name, c := range map[string]struct {
		needed  int
		backups []placement.Backup
		check   func(error) bool
		code    int
	}{
		"no backups are needed":      {0, nil, func(err error) bool { return errors.Is(err, ErrUnknownMessage) }, 404},
		"the backup is lost":         {1, nil, func(err error) bool { return errors.Is(err, ErrIndeterminate) }, 503},
		"the backup does not answer": {1, []placement.Backup{{Store: "other", InSync: true}}, func(err error) bool { return err != nil && !errors.Is(err, ErrUnknownMessage) }, 0},
	} {
		m := startPrimary(t, c.backups...)
		m.mu.Lock()
		m.config.Backups = c.needed
		m.mu.Unlock()
		if _, err := m.Find(t.Context(), 0, "x"); !c.check(err) || StatusCode(err) != c.code {
			t.Errorf("%s: %v, code %d", name, err, StatusCode(err))
		}
		m.mu.Lock()
		m.partitions[0].records.put(&Record{ID: "x"})
		m.mu.Unlock()
		if r, err := m.Find(t.Context(), 0, "x"); err != nil || r.ID != "x" {
			t.Errorf("%s: a message that is here: %v %v", name, r, err)
		}
	}
}
