// Command saltreel-control runs the control plane and sends operator requests to
// it.
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
	root := &cobra.Command{Use: "saltreel-control", Short: "The control plane of saltreel and its operator commands"}
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

// newClient returns a client configured by the flags. It must not be called before
// they are parsed.
type newClient func() *operator.Client

func addClientFlags(root *cobra.Command) newClient {
	var controls []string
	var timeout time.Duration
	root.PersistentFlags().StringSliceVar(&controls, "control", nil, "comma-separated control-plane addresses, host:port")
	root.PersistentFlags().DurationVar(&timeout, "timeout", 2*time.Second, "timeout of one request")
	return func() *operator.Client {
		return &operator.Client{Pool: &httpwire.Pool{Network: httpwire.TCP()}, Addresses: controls, Timeout: timeout}
	}
}
