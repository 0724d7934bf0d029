// Command saltreel-control runs the control plane and sends the operator's
// orders to it.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"time"

	"github.com/spf13/cobra"

	"saltreel/internal/configuration"
	"saltreel/internal/controlplane"
	"saltreel/internal/httpwire"
	"saltreel/internal/operator"
	"saltreel/internal/placement"
	"saltreel/internal/platform"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
)

func main() {
	root := &cobra.Command{Use: "saltreel-control", Short: "The control plane of saltreel, and the operator's orders to it"}
	root.AddCommand(
		platform.Role("core", "Run a core: control state, handlers, placement", func(set *settings.Settings, logger *log.Logger) (platform.Process, error) {
			return newControl(set, logger)
		}),
		platform.Check("core"),
	)
	var controls []string
	var timeout time.Duration
	root.PersistentFlags().StringSliceVar(&controls, "control", nil, "control-plane addresses, host:port, separated by commas")
	root.PersistentFlags().DurationVar(&timeout, "timeout", 2*time.Second, "how long to wait for one answer")
	caller := func() *operator.Client {
		return &operator.Client{Pool: &httpwire.Pool{Network: httpwire.TCP()}, Controls: controls, Timeout: timeout}
	}
	root.AddCommand(configCommand(caller), retireCommand(caller), statusCommand(caller))
	os.Exit(platform.Main(root))
}

// control is a core with its listener for handlers and the operator.
type control struct {
	*controlplane.Server
	set *settings.Settings
	log *log.Logger
}

func newControl(set *settings.Settings, logger *log.Logger) (*control, error) {
	c, err := controlplane.New(set, httpwire.TCP(), logger)
	return &control{c, set, logger}, err
}

// Run serves both sides until ctx ends.
func (c *control) Run(ctx context.Context) error {
	return operator.Serve(ctx, c.Server, c.set, httpwire.TCP(), c.log)
}

func configCommand(caller func() *operator.Client) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Read, check or send the configuration"}
	get := &cobra.Command{Use: "get", Short: "Print the configuration in force", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		raw, err := caller().Get(cmd.Context(), "/v1/configuration")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(cmd.OutOrStdout(), string(raw))
		return err
	}}
	var match int64
	put := &cobra.Command{Use: "put FILE", Short: "Send a configuration; - reads standard input", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		raw, err := read(cmd, args[0])
		if err != nil {
			return err
		}
		conf, err := configuration.Parse(raw)
		if err != nil {
			return err
		}
		c := caller()
		if !cmd.Flags().Changed("if-match") {
			if match, err = current(cmd.Context(), c); err != nil {
				return err
			}
		}
		if err := c.PutConfiguration(cmd.Context(), raw, match); err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %d was taken\n", conf.Revision)
		return err
	}}
	put.Flags().Int64Var(&match, "if-match", 0, "the revision that it builds on (default: the one in force)")
	check := &cobra.Command{Use: "check FILE", Short: "Check a configuration without sending it", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		raw, err := read(cmd, args[0])
		if err != nil {
			return err
		}
		conf, err := configuration.Parse(raw)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %d: sound, %d routes, %d services, %d tenants\n", conf.Revision, len(conf.RouteTable), len(conf.ServiceTable), len(conf.TenantTable))
		return err
	}}
	cmd.AddCommand(get, put, check)
	return cmd
}

// current is the revision in force, 0 before the first.
func current(ctx context.Context, c *operator.Client) (int64, error) {
	raw, err := c.Get(ctx, "/v1/configuration")
	if rpc.StatusCode(err) == 404 {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	conf, err := configuration.Parse(raw)
	if err != nil {
		return 0, err
	}
	return conf.Revision, nil
}

func read(cmd *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(cmd.InOrStdin(), operator.MaxConfigurationBytes))
	}
	return os.ReadFile(path)
}

func retireCommand(caller func() *operator.Client) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{Use: "retire NODE", Short: "Empty a store, so that it may be removed", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		c := caller()
		if err := c.Retire(cmd.Context(), args[0], wait); err != nil {
			return err
		}
		for end := time.Now().Add(wait); ; time.Sleep(200 * time.Millisecond) {
			raw, err := c.Get(cmd.Context(), "/v1/retire/"+args[0])
			if err != nil {
				return err
			}
			var state operator.RetireStatus
			if err := json.Unmarshal(raw, &state); err != nil {
				return err
			}
			if state.State == placement.RetireComplete {
				fmt.Fprintf(cmd.OutOrStdout(), "%s is empty\n", args[0])
				return nil
			}
			if time.Now().After(end) {
				return errors.New(args[0] + " is not empty yet; ask again with retire")
			}
		}
	}}
	cmd.Flags().DurationVar(&wait, "wait", 30*time.Second, "how long to wait until it is empty")
	return cmd
}

func statusCommand(caller func() *operator.Client) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show the view, the nodes, the placement and the handlers", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		raw, err := caller().Get(cmd.Context(), "/v1/status")
		if err != nil {
			return err
		}
		var out bytes.Buffer
		if err := json.Indent(&out, raw, "", "  "); err != nil {
			return err
		}
		_, err = fmt.Fprintln(cmd.OutOrStdout(), out.String())
		return err
	}}
}
