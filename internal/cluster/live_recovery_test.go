package cluster

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"saltreel/internal/topic"
)

var recoverySeeds = flag.Int("live.seeds", 3, "number of seeds for measuring topic recovery times")

// maxRecoveryTime bounds both recovery times: an eighth of contact-ms in the settings of
// the tests. With 20 seeds both take less than half of that (docs/live.md).
const maxRecoveryTime = 500 * time.Millisecond

// measureRecovery runs a measurement once per seed, each on a new cluster. It logs the
// median and the maximum and checks the maximum against the bound.
func measureRecovery(t *testing.T, measure func(w *world, rng *rand.Rand) time.Duration) {
	t.Helper()
	var took []time.Duration
	for seed := range *recoverySeeds {
		runLive(t, func(w *world) {
			w.network.setDelay(regionDelay)
			took = append(took, measure(w, rand.New(rand.NewPCG(uint64(seed), 1))))
		})
	}
	slices.Sort(took)
	t.Logf("%d seeds: median %v, worst %v", len(took), took[len(took)/2], took[len(took)-1])
	if worst := took[len(took)-1]; worst > maxRecoveryTime {
		t.Errorf("slowest recovery took %v", worst)
	}
}

// Measures the longest gap between the last acknowledgement from a killed broker and
// the first from its successors, over topics that the broker led.
func TestBrokerFailoverTimeIsBounded(t *testing.T) {
	measureRecovery(t, func(w *world, rng *rand.Rand) time.Duration {
		ctx, cancel := context.WithCancel(w.t.Context())
		defer cancel()
		topics := w.topicsWithPrimary("broker-z1", 4)
		var clients []*liveClient
		for i, name := range topics {
			c := w.newLiveClient(ctx, fmt.Sprint("publisher-", i), "z2", name)
			clients = append(clients, c)
			w.waitFor(10*time.Second, "the subscription", c.allSubscribed)
			w.goroutines.Go(func() {
				for ctx.Err() == nil {
					c.publish(name)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		time.Sleep(time.Second + time.Duration(rng.Int64N(int64(time.Second))))
		w.killMachine("broker-z1")
		killed := time.Now()
		time.Sleep(3 * time.Second)
		worst := time.Duration(0)
		for _, c := range clients {
			worst = max(worst, c.acknowledgementGap(w.t, killed))
		}
		return worst
	})
}

// topicsWithPrimary returns the names of n topics whose partitions have the given broker as
// primary.
func (w *world) topicsWithPrimary(broker string, n int) (topics []string) {
	w.t.Helper()
	status, err := w.status()
	if err != nil {
		w.t.Fatal(err)
	}
	partitions := status.Placement.Partitions
	for i := 0; len(topics) < n; i++ {
		name := fmt.Sprint("live.", i)
		if partitions[topic.PartitionOf(name, len(partitions))].Primary == broker {
			topics = append(topics, name)
		}
	}
	return topics
}

// acknowledgementGap returns the time between the last acknowledgement up to a given
// time and the first after it.
func (c *liveClient) acknowledgementGap(t *testing.T, at time.Time) time.Duration {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	var before, after time.Time
	for _, m := range c.published {
		switch {
		case m.acknowledged.IsZero():
		case !m.acknowledged.After(at):
			before = m.acknowledged
		case after.IsZero():
			after = m.acknowledged
		}
	}
	if before.IsZero() || after.IsZero() {
		t.Fatalf("last acknowledgement at %v, next at %v: one is missing", before, after)
	}
	return after.Sub(before)
}

// Measures the time from the reset of all connections until the last subscription is
// confirmed again. Clients reconnect after 0.1 s.
func TestResubscriptionTimeAfterResetIsBounded(t *testing.T) {
	measureRecovery(t, func(w *world, rng *rand.Rand) time.Duration {
		ctx, cancel := context.WithCancel(w.t.Context())
		defer cancel()
		var clients []*liveClient
		for i := range 90 {
			topics := []string{fmt.Sprint("live.all-", i%3), fmt.Sprint("live.one-", i), fmt.Sprint("live.few-", rng.IntN(20))}
			clients = append(clients, w.newLiveClient(ctx, fmt.Sprint("client-", i), zones[i%len(zones)], topics...))
		}
		allSubscribedAfter := func(at time.Time) func() bool {
			return func() bool {
				return !slices.ContainsFunc(clients, func(c *liveClient) bool { return !c.subscribedAfter(at) })
			}
		}
		w.waitFor(10*time.Second, "all subscriptions", allSubscribedAfter(time.Time{}))
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
		reset := time.Now()
		for _, z := range zones {
			w.network.reset(clientIP, w.machines["gateway-"+z].ip)
		}
		w.waitFor(10*time.Second, "all subscriptions again", allSubscribedAfter(reset))
		return time.Since(reset)
	})
}

// subscribedAfter reports whether all subscriptions of a client were confirmed after the
// given time.
func (c *liveClient) subscribedAfter(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.subscriptions {
		if !s.lastSubscribed.After(at) {
			return false
		}
	}
	return true
}
