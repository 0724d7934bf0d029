package platform

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"time"

	"github.com/spf13/cobra"

	"saltreel/internal/settings"
)

// Version is the version of the programs; the build may set it.
var Version = "0.1.0"

// Exit codes other than 0.
const (
	ExitFailure  = 1
	ExitSettings = 2 // the settings are wrong; a restart does not help
)

// settingsError is an error in the settings. Main exits with ExitSettings for it.
type settingsError struct{ err error }

func (e settingsError) Error() string { return e.err.Error() }
func (e settingsError) Unwrap() error { return e.err }

// Process is a role that runs as a process.
type Process interface {
	// Run serves until ctx ends.
	Run(ctx context.Context) error
}

// reloader is a Process that applies changes of the settings while it runs.
type reloader interface {
	Reload(*settings.Settings)
}

// RoleCommand returns the command that runs a role with the settings of the
// file that PathVariable names.
func RoleCommand(role, short string, start func(*settings.Settings, *log.Logger) (Process, error)) *cobra.Command {
	return &cobra.Command{
		Use: role, Short: short, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return run(role, start) },
	}
}

// run runs a role until the platform stops the process.
func run(role string, start func(*settings.Settings, *log.Logger) (Process, error)) error {
	path, err := Path()
	if err != nil {
		return settingsError{err}
	}
	set, err := Load(path, role)
	if err != nil {
		return settingsError{err}
	}
	logger := log.New(os.Stderr, "", log.Ltime|log.Lmicroseconds)
	ctx, cancel := StopContext(context.Background())
	defer cancel()
	process, err := start(set, logger)
	if err != nil {
		return fmt.Errorf("%s: start: %w", role, err)
	}
	go Watch(ctx, path, role, watchInterval(set), logger, func(changed *settings.Settings) {
		if r, ok := process.(reloader); ok {
			r.Reload(changed)
		}
	})
	if err := process.Run(ctx); err != nil {
		return fmt.Errorf("%s: %w", role, err)
	}
	return nil
}

// watchInterval is the time between two looks at the settings file.
func watchInterval(set *settings.Settings) time.Duration { return set.Contact() / 4 }

// CheckCommand returns the command that checks a settings file without starting
// anything, optionally for one of the roles.
func CheckCommand(roles ...string) *cobra.Command {
	var role string
	cmd := &cobra.Command{
		Use: "check FILE", Short: "Check a settings file without starting anything", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := settings.Load(args[0])
			if err == nil && role != "" {
				err = set.Require(role)
			}
			if err != nil {
				return settingsError{err}
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: sound, node %s\n", args[0], set.NodeName) // the exit code is the result
			return nil
		},
	}
	cmd.Flags().StringVar(&role, "role", "", fmt.Sprintf("also check what a role needs: one of %v", roles))
	return cmd
}

// Main runs the command line of a program and returns the exit code. It prints
// the error, if any, to standard error.
func Main(root *cobra.Command) int {
	root.SilenceUsage, root.SilenceErrors = true, true
	root.Version = Version
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	if errors.As(err, new(settingsError)) {
		return ExitSettings
	}
	return ExitFailure
}
