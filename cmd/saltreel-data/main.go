// Command saltreel-data runs the data plane: edges that accept messages, stores that
// persist and deliver them, gateways for realtime clients, and brokers for their
// topics.
package main

import (
	"context"
	"log"
	"os"

	"github.com/spf13/cobra"

	"saltreel/internal/broker"
	"saltreel/internal/edge"
	"saltreel/internal/gateway"
	"saltreel/internal/handler"
	"saltreel/internal/httpwire"
	"saltreel/internal/platform"
	"saltreel/internal/settings"
	"saltreel/internal/store"
)

func main() {
	signals := platform.CatchSignals()
	root := &cobra.Command{Use: "saltreel-data", Short: "The data plane of saltreel: accepts, persists and delivers messages"}
	root.AddCommand(
		platform.RoleCommand("edge", "Run an edge: client HTTP requests, admission, message queries", signals, func(_ context.Context, set *settings.Settings, logger *log.Logger) (platform.Process, error) {
			return edge.New(set, httpwire.TCP(), logger), nil
		}),
		platform.RoleCommand("store", "Run a store: durable partitions, delivery to handlers", signals, func(ctx context.Context, set *settings.Settings, logger *log.Logger) (platform.Process, error) {
			return store.New(ctx, set, httpwire.TCP(), logger)
		}),
		platform.RoleCommand("gateway", "Run a gateway: connections of realtime clients, subscriptions, admission", signals, func(_ context.Context, set *settings.Settings, logger *log.Logger) (platform.Process, error) {
			return gateway.New(set, httpwire.TCP(), logger), nil
		}),
		platform.RoleCommand("broker", "Run a broker: durable topics, message order, feeds for gateways", signals, func(ctx context.Context, set *settings.Settings, logger *log.Logger) (platform.Process, error) {
			return store.NewWithWorkload(ctx, set, httpwire.TCP(), logger, broker.NewWorkload)
		}),
		platform.CheckCommand("edge", "store", "gateway", "broker"),
		platform.HandlesSignals(&cobra.Command{Use: "sink ADDRESS", Short: "Run a handler that accepts and prints every message, for testing", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				ctx, cancel := platform.StopContext(signals)
				defer cancel()
				return handler.Sink(ctx, httpwire.TCP(), args[0], cmd.OutOrStdout())
			}}),
	)
	root.AddCommand(realtimeCommands(signals)...)
	os.Exit(platform.Main(root))
}
