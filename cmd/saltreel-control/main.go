// Command saltreel-control runs the control plane and sends the operator's
// orders to it.
package main

import (
	"context"
	"log"
	"os"
	"time"

	"github.com/spf13/cobra"

	"saltreel/internal/controlplane"
	"saltreel/internal/httpwire"
	"saltreel/internal/operator"
	"saltreel/internal/platform"
	"saltreel/internal/settings"
)

func main() {
	root := &cobra.Command{Use: "saltreel-control", Short: "The control plane of saltreel, and the operator's orders to it"}
	root.AddCommand(
		platform.RoleCommand("core", "Run a core: control state, handlers, placement", newControl),
		platform.CheckCommand("core"),
	)
	client := addClientFlags(root)
	root.AddCommand(configCommand(client), retireCommand(client), statusCommand(client))
	os.Exit(platform.Main(root))
}

// newClient returns a client as the flags configure it. It is called once they
// are parsed.
type newClient func() *operator.Client

func addClientFlags(root *cobra.Command) newClient {
	var controls []string
	var timeout time.Duration
	root.PersistentFlags().StringSliceVar(&controls, "control", nil, "control-plane addresses, host:port, separated by commas")
	root.PersistentFlags().DurationVar(&timeout, "timeout", 2*time.Second, "how long to wait for one answer")
	return func() *operator.Client {
		return &operator.Client{Pool: &httpwire.Pool{Network: httpwire.TCP()}, Controls: controls, Timeout: timeout}
	}
}

// control is a core with its listener for handlers and the operator.
type control struct {
	*controlplane.Server
	settings *settings.Settings
	log      *log.Logger
}

func newControl(set *settings.Settings, logger *log.Logger) (platform.Process, error) {
	server, err := controlplane.New(set, httpwire.TCP(), logger)
	return &control{server, set, logger}, err
}

// Run serves both sides until ctx ends.
func (c *control) Run(ctx context.Context) error {
	return operator.Serve(ctx, c.Server, c.settings, httpwire.TCP(), c.log)
}
