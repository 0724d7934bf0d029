package boltstore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	bbolterrors "go.etcd.io/bbolt/errors"
)

// Guards against I/O errors and errors of the caller that are reported as damage: only
// an error caused by the content of a readable file is damage.
func TestDetectDamageDistinguishesDamageFromOtherErrors(t *testing.T) {
	dir := t.TempDir()
	readable := filepath.Join(dir, "state.db")
	if err := os.WriteFile(readable, []byte("content"), 0o600); err != nil {
		t.Fatal(err)
	}
	other := errors.New("caller failed")
	for name, c := range map[string]struct {
		path string
		do   func() error
		want error
	}{
		"success":                       {readable, func() error { return nil }, nil},
		"the caller's error":            {readable, func() error { return other }, other},
		"panic":                         {readable, func() error { panic("page 7: unexpected type") }, ErrDamaged},
		"invalid meta pages":            {readable, func() error { return bbolterrors.ErrInvalid }, ErrDamaged},
		"wrong checksum":                {readable, func() error { return fmt.Errorf("open: %w", bbolterrors.ErrChecksum) }, ErrDamaged},
		"another version":               {readable, func() error { return bbolterrors.ErrVersionMismatch }, ErrDamaged},
		"panic over an unreadable file": {filepath.Join(dir, "absent"), func() error { panic("page 7") }, fs.ErrNotExist},
		"panic over a directory":        {dir, func() error { panic("page 7") }, syscall.EISDIR},
	} {
		err := detectDamage(c.path, c.do)
		if !errors.Is(err, c.want) || errors.Is(err, ErrDamaged) != errors.Is(c.want, ErrDamaged) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
}

func TestMoveAsideNeverOverwrites(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.db")
	for n := 1; n <= 3; n++ {
		if err := os.WriteFile(path, fmt.Append(nil, n), 0o600); err != nil {
			t.Fatal(err)
		}
		aside, err := moveAside(path)
		if want := fmt.Sprintf("%s.damaged-%d", path, n); err != nil || aside != want {
			t.Errorf("moved to %s, want %s: %v", aside, want, err)
		}
	}
	for n := 1; n <= 3; n++ {
		if content, err := os.ReadFile(fmt.Sprintf("%s.damaged-%d", path, n)); err != nil || string(content) != fmt.Sprint(n) {
			t.Errorf("content of damaged file %d is %q: %v", n, content, err)
		}
	}
	if _, err := moveAside(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("moving an absent file: %v", err)
	}
}
