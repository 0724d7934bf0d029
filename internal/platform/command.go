package platform

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"

	"github.com/spf13/cobra"

	"saltreel/internal/settings"
)

// Version is the version of the programs; the build may set it.
var Version = "0.1.0"

// ExitSettings is the exit code of a process whose settings are not sound.
const ExitSettings = 2

// errSettings marks an error in the settings.
type errSettings struct{ error }

func (e errSettings) Unwrap() error { return e.error }

// Process is a role as a process runs it.
type Process interface {
	Run(ctx context.Context) error
}

// Role is the command that runs a role by the settings file.
func Role(role, short string, start func(*settings.Settings, *log.Logger) (Process, error)) *cobra.Command {
	return &cobra.Command{
		Use: role, Short: short, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			path, err := Path()
			if err != nil {
				return errSettings{err}
			}
			set, err := Load(path, role)
			if err != nil {
				return errSettings{err}
			}
			logger := log.New(os.Stderr, "", log.Ltime|log.Lmicroseconds)
			ctx, cancel := Stop(context.Background())
			defer cancel()
			p, err := start(set, logger)
			if err != nil {
				return fmt.Errorf("%s: start: %w", role, err)
			}
			go Watch(ctx, path, role, set.Contact()/4, logger, func(s *settings.Settings) {
				if r, ok := p.(interface{ Reload(*settings.Settings) }); ok {
					r.Reload(s)
				}
			})
			if err := p.Run(ctx); err != nil {
				return fmt.Errorf("%s: %w", role, err)
			}
			return nil
		},
	}
}

// Check is the command that checks a settings file without starting anything.
func Check(roles ...string) *cobra.Command {
	var role string
	cmd := &cobra.Command{
		Use: "check FILE", Short: "Check a settings file without starting anything", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := settings.Load(args[0])
			if err == nil && role != "" {
				err = set.Require(role)
			}
			if err != nil {
				return errSettings{err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: sound, node %s\n", args[0], set.NodeName)
			return nil
		},
	}
	cmd.Flags().StringVar(&role, "role", "", fmt.Sprintf("also check what a role needs: one of %v", roles))
	return cmd
}

// Main runs a program's command line and returns its exit code.
func Main(root *cobra.Command) int {
	root.SilenceUsage, root.SilenceErrors = true, true
	root.Version = Version
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	if errors.As(err, new(errSettings)) {
		return ExitSettings
	}
	return 1
}
