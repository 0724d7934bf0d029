// Package platform implements the interface to the platform that runs the
// processes: the settings file and its reloads, signals, the readiness probe, and
// the command line with its exit codes. Lifecycle runs a process from start to
// exit; its state machine is in phase.go.
package platform

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"saltreel/internal/settings"
)

// Version is the version of the programs; the build may set it.
var Version = "0.1.0"

// Exit codes other than 0.
const (
	ExitFailure  = 1
	ExitSettings = 2 // the settings are invalid; a restart does not help
)

// settingsError is an error in the settings. Main returns ExitSettings for it.
type settingsError struct{ err error }

func (e settingsError) Error() string { return e.err.Error() }
func (e settingsError) Unwrap() error { return e.err }

// annotationSignals marks the commands that handle signals while they run. For the
// others, Main restores the default action of the signals.
const annotationSignals = "signals"

// HandlesSignals marks a command that receives its signals from CatchSignals.
func HandlesSignals(cmd *cobra.Command) *cobra.Command {
	cmd.Annotations = map[string]string{annotationSignals: "handled"}
	return cmd
}

// RoleCommand returns the command that runs a role with the settings file named
// by PathVariable.
func RoleCommand(role, short string, signals Signals, start Start) *cobra.Command {
	return HandlesSignals(&cobra.Command{
		Use: role, Short: short, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			logger := log.New(os.Stderr, "", log.Ltime|log.Lmicroseconds)
			lifecycle, err := NewLifecycle(role, signals, withMemoryLimit(start), logger)
			if err != nil {
				return err
			}
			return lifecycle.Run()
		},
	})
}

// withMemoryLimit sets the memory limit of the Go runtime before calling start.
func withMemoryLimit(start Start) Start {
	return func(ctx context.Context, set *settings.Settings, logger *log.Logger) (Process, error) {
		limitMemory(set)
		return start(ctx, set, logger)
	}
}

// CheckCommand returns the command that validates a settings file without starting
// a process, optionally for one of the roles.
func CheckCommand(roles ...string) *cobra.Command {
	var role string
	cmd := &cobra.Command{
		Use: "check FILE", Short: "Check a settings file without starting anything", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if role != "" && !slices.Contains(roles, role) {
				return fmt.Errorf("unknown role %q; the roles are %s", role, strings.Join(roles, ", "))
			}
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

// Main executes the command line of a program and returns the exit code. It prints
// any error to standard error.
func Main(root *cobra.Command) int {
	root.SilenceUsage, root.SilenceErrors = true, true
	root.Version = Version
	root.PersistentPreRun = func(cmd *cobra.Command, _ []string) {
		if cmd.Annotations[annotationSignals] == "" {
			signal.Reset(handledSignals...)
		}
	}
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
