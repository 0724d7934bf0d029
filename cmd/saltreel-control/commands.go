package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"saltreel/internal/configuration"
	"saltreel/internal/operator"
	"saltreel/internal/placement"
	"saltreel/internal/rpc"
)

func configCommand(client newClient) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Read, check or send the configuration"}
	cmd.AddCommand(configGetCommand(client), configPutCommand(client), configPatchCommand(client), configCheckCommand())
	return cmd
}

func configGetCommand(client newClient) *cobra.Command {
	return &cobra.Command{
		Use: "get", Short: "Print the current configuration", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			raw, err := client().Get(cmd.Context(), "/v1/configuration")
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), string(raw))
			return err
		},
	}
}

func configPutCommand(client newClient) *cobra.Command {
	return changeCommand("put FILE", "Send a configuration; - reads standard input", client,
		func(cmd *cobra.Command, path string) (raw []byte, revision int64, err error) {
			raw, parsed, err := readConfiguration(cmd, path)
			return raw, parsed.GetRevision(), err
		}, (*operator.Client).PutConfiguration)
}

func configPatchCommand(client newClient) *cobra.Command {
	return changeCommand("patch FILE", "Send a patch that adds, replaces or removes named items; - reads standard input", client,
		func(cmd *cobra.Command, path string) (raw []byte, revision int64, err error) {
			if raw, err = readFile(cmd, path); err != nil {
				return nil, 0, err
			}
			revision, err = configuration.PatchRevision(raw)
			return raw, revision, err
		}, (*operator.Client).PatchConfiguration)
}

// changeCommand returns a command that reads a file and sends it as a change based on
// a given revision.
func changeCommand(use, short string, client newClient,
	read func(cmd *cobra.Command, path string) (raw []byte, revision int64, err error),
	send func(c *operator.Client, ctx context.Context, raw []byte, baseRevision int64) error,
) *cobra.Command {
	var baseRevision int64
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, revision, err := read(cmd, args[0])
			if err != nil {
				return err
			}
			c := client()
			if !cmd.Flags().Changed("if-match") {
				if baseRevision, err = currentRevision(cmd.Context(), c); err != nil {
					return err
				}
			}
			if err := send(c, cmd.Context(), raw, baseRevision); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %d was applied\n", revision)
			return err
		},
	}
	cmd.Flags().Int64Var(&baseRevision, "if-match", 0, "the revision that the change is based on (default: the current one)")
	return cmd
}

func configCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a configuration without sending it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, parsed, err := readConfiguration(cmd, args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %d: sound, %d routes, %d services, %d tenants\n",
				parsed.Revision, len(parsed.RouteTable), len(parsed.ServiceTable), len(parsed.TenantTable))
			return err
		},
	}
}

// readConfiguration reads, parses and validates the configuration in a file; - is
// standard input.
func readConfiguration(cmd *cobra.Command, path string) ([]byte, *configuration.Configuration, error) {
	raw, err := readFile(cmd, path)
	if err != nil {
		return nil, nil, err
	}
	parsed, err := configuration.Parse(raw)
	return raw, parsed, err
}

func readFile(cmd *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(cmd.InOrStdin(), operator.MaxConfigurationBytes))
	}
	return os.ReadFile(path)
}

// currentRevision returns the current revision, or 0 if there is no configuration yet.
func currentRevision(ctx context.Context, c *operator.Client) (int64, error) {
	raw, err := c.Get(ctx, "/v1/configuration")
	if rpc.StatusCode(err) == http.StatusNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	parsed, err := configuration.Parse(raw)
	if err != nil {
		return 0, err
	}
	return parsed.Revision, nil
}

// retirePollInterval is the interval at which the retire command polls whether a store
// is empty.
const retirePollInterval = 200 * time.Millisecond

func retireCommand(client newClient) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "retire NODE", Short: "Move all replicas off a store, so that it can be removed", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			store := args[0]
			c := client()
			if err := c.Retire(cmd.Context(), store, wait); err != nil {
				return err
			}
			if err := awaitRetired(cmd.Context(), c, store, wait); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s is empty\n", store) // the exit code is the result
			return nil
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 30*time.Second, "how long to wait until the store is empty")
	return cmd
}

// awaitRetired waits until a store holds no replicas.
func awaitRetired(ctx context.Context, c *operator.Client, store string, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(retirePollInterval) {
		state, err := c.RetireState(ctx, store)
		if err != nil {
			return err
		}
		if state == placement.RetireComplete {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New(store + " is not empty yet; run retire again to continue waiting")
		}
	}
}

func statusCommand(client newClient) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Print the view, the nodes, the placement and the handlers as JSON", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			raw, err := client().Get(cmd.Context(), "/v1/status")
			if err != nil {
				return err
			}
			var out bytes.Buffer
			if err := json.Indent(&out, raw, "", "  "); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), out.String())
			return err
		},
	}
}
