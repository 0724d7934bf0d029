// Command saltreel-control runs the control plane and sends the operator's
// orders to it.
package main

import (
	"context"
	"log"
	"os"
	"time"

	"github.com/spf13/cobra"

	"saltreel/internal/httpwire"
	"saltreel/internal/operator"
	"saltreel/internal/platform"
	"saltreel/internal/settings"
)

func main() {
	signals := platform.CatchSignals()
	root := &cobra.Command{Use: "saltreel-control", Short: "The control plane of saltreel, and the operator's orders to it"}
	root.AddCommand(
		platform.RoleCommand("core", "Run a core: control state, handlers, placement", signals, func(_ context.Context, set *settings.Settings, logger *log.Logger) (platform.Process, error) {
			return operator.NewCore(set, httpwire.TCP(), logger)
		}),
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
		return &operator.Client{Pool: &httpwire.Pool{Network: httpwire.TCP()}, Addresses: controls, Timeout: timeout}
	}
}
