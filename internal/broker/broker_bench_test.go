package broker

import (
	"context"
	"io"
	"log"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/partition"
	"saltreel/internal/placement"
	"saltreel/internal/rpc"
	"saltreel/internal/topic"
)

// BenchmarkPublish measures publications of 700 bytes at a broker without backups, with 64
// concurrent publishers, on the local disk.
func BenchmarkPublish(b *testing.B) {
	unreachable := func(context.Context, string) (net.Conn, error) { return nil, io.EOF }
	partitions, err := partition.New(partition.Config{
		Self: "me", Dir: b.TempDir(), ContactTimeout: 4 * time.Second, StateRetention: time.Minute,
		Client:        rpc.NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: unreachable}}),
		Log:           log.New(io.Discard, "", 0),
		ReportInSync:  func(context.Context, placement.InSyncReport) error { return nil },
		ReportFailure: func(string, bool) {},
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = partitions.Run(ctx)
	}()
	defer func() { cancel(); <-done }()
	partitions.ApplyPlacement(placement.Placement{
		Version:    1,
		Stores:     map[string]placement.Store{"me": {Disk: partitions.DiskID()}},
		Partitions: []placement.Partition{{Primary: "me", Epoch: 1}},
	})
	broker, err := New(Config{Partitions: partitions, Log: log.New(io.Discard, "", 0), ContactTimeout: 4 * time.Second, Retransmit: time.Second})
	if err != nil {
		b.Fatal(err)
	}
	body := make([]byte, 700)
	var publishers atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		publisher := strconv.FormatInt(publishers.Add(1), 10)
		for n := int64(1); pb.Next(); n++ {
			in := &topic.PublishRequest{Topic: "t", Publisher: publisher, RetentionMs: 1000, WaitMs: 10000, Messages: []topic.Publication{{Number: n, Length: len(body)}}}
			out, err := broker.handlePublish(ctx, in, body)
			if err != nil || out.Outcomes[0] != topic.Accepted {
				b.Errorf("%+v, %v", out, err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "publications/s")
}
