package platform

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"testing"

	"github.com/spf13/cobra"

	"saltreel/internal/settings"
)

const validSettings = `node-name=n
ip-address=10.0.0.1
zone=z
region=r
internal-port-range=7100,7115
seed-peers=10.0.0.1:82
timers.contact-ms=4000
timers.grace-s=6
timers.status-ttl-s=120
timers.config-apply-ms=3000
timers.drain-ms=3000
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// fakeProcess returns err from Run immediately.
type fakeProcess struct{ err error }

func (p fakeProcess) Run(context.Context) error { return p.err }

func (p fakeProcess) Reload(*settings.Settings) {}

func TestExitCodes(t *testing.T) {
	valid := writeSettings(t, validSettings)
	store := writeSettings(t, validSettings+"data-path=/data\n")
	wrong := writeSettings(t, validSettings+"timers.contact-ms=soon\n")
	failed := errors.New("failed")
	for _, c := range []struct {
		name     string
		args     []string
		variable string // path of the settings file
		startErr error
		runErr   error
		code     int
	}{
		{"check of valid settings", []string{"check", valid}, "", nil, nil, 0},
		{"check of invalid settings", []string{"check", wrong}, "", nil, nil, ExitSettings},
		{"check for a role", []string{"check", "--role", "store", store}, "", nil, nil, 0},
		{"check for a role with a required setting missing", []string{"check", "--role", "store", valid}, "", nil, nil, ExitSettings},
		{"check for an unknown role", []string{"check", "--role", "shop", store}, "", nil, nil, ExitFailure},
		{"check of a missing file", []string{"check", valid + "-none"}, "", nil, nil, ExitSettings},
		{"unknown command", []string{"nosuch"}, "", nil, nil, ExitFailure},
		{"run", []string{"store"}, store, nil, nil, 0},
		{"run without settings", []string{"store"}, "", nil, nil, ExitSettings},
		{"run with invalid settings", []string{"store"}, wrong, nil, nil, ExitSettings},
		{"run with a required setting missing", []string{"store"}, valid, nil, nil, ExitSettings},
		{"start fails", []string{"store"}, store, failed, nil, ExitFailure},
		{"run fails", []string{"store"}, store, nil, failed, ExitFailure},
		{"run fails by a settings error", []string{"store"}, store, nil, fmt.Errorf("x: %w", settingsError{failed}), ExitSettings},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv(PathVariable, c.variable)
			root := &cobra.Command{Use: "program"}
			root.AddCommand(CheckCommand("store"), RoleCommand("store", "", make(Signals), func(context.Context, *settings.Settings, *log.Logger) (Process, error) {
				return fakeProcess{c.runErr}, c.startErr
			}))
			root.SetArgs(c.args)
			root.SetOut(t.Output())
			if code := Main(root); code != c.code {
				t.Errorf("exit code %d, not %d", code, c.code)
			}
		})
	}
}
