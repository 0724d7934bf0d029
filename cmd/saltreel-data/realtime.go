package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"saltreel/internal/httpwire"
	"saltreel/internal/linewire"
	"saltreel/internal/platform"
	"saltreel/internal/realtime"
)

// realtimeCommands returns the commands that subscribe to topics and publish on them.
func realtimeCommands(signals platform.Signals) []*cobra.Command {
	client := &realtime.Client{Dial: httpwire.TCP().Dial, Log: func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, format+"\n", args...)
	}}
	var cursor string
	var wait time.Duration

	subscribe := platform.HandlesSignals(&cobra.Command{
		Use: "subscribe TOPIC", Short: "Print the messages of a topic, each preceded by its cursor, until interrupted", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := platform.StopContext(signals)
			defer cancel()
			err := client.Subscribe(ctx, args[0], cursor, realtime.SubscriptionHandler{
				OnSubscribed: func(cursor string) {
					_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "joined %s behind %s\n", args[0], cursor)
				},
				OnMessage: func(m *linewire.Response) {
					_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s %s %d %s\n", m.Cursor, m.Publisher, m.Number, m.Body)
				},
			})
			if ctx.Err() != nil {
				return nil
			}
			return err
		},
	})
	subscribe.Flags().StringVar(&cursor, "cursor", "", "also print the stored messages after this cursor")

	publish := &cobra.Command{
		Use: "publish TOPIC MESSAGE", Short: "Publish a message on a topic; returns once it is durable", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			number := time.Now().UnixMicro() // increases with each call
			if err := client.Publish(ctx, args[0], number, []byte(args[1])); err != nil {
				return fmt.Errorf("publish: %w", err)
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "acknowledged: %s %d\n", client.Name, number)
			return nil
		},
	}
	publish.Flags().DurationVar(&wait, "wait", 10*time.Second, "how long to keep trying")

	subscribers := &cobra.Command{
		Use: "subscribers TOPIC", Short: "Print how many subscribers a topic has", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			n, err := client.Count(ctx, args[0])
			if err != nil {
				return fmt.Errorf("count: %w", err)
			}
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), n)
			return nil
		},
	}
	subscribers.Flags().DurationVar(&wait, "wait", 10*time.Second, "how long to keep trying")

	commands := []*cobra.Command{subscribe, publish, subscribers}
	hostname, err := os.Hostname()
	if err != nil {
		hostname = "terminal"
	}
	for _, cmd := range commands {
		cmd.Flags().StringVar(&client.Address, "gateway", "127.0.1.3:8749", "gateway address, HOST:PORT")
		cmd.Flags().StringVar(&client.Key, "key", "", "API key of a tenant")
		cmd.Flags().StringVar(&client.Name, "client", hostname, "name of this client")
	}
	return commands
}
