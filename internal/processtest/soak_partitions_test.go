package processtest

import (
	"context"
	"net"
	"strconv"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/partition"
	"saltreel/internal/rpc"
)

// checkPartitions checks that each message is in one partition: two partitions would both
// deliver it. All stores are asked, since any replica tells where a message is.
func (f *fleet) checkPartitions(tr *traffic) {
	f.t.Helper()
	partitionOf := map[string]int{}
	client := rpc.NewClient(&httpwire.Pool{Network: httpwire.TCP()})
	for _, store := range f.ofRole("store") {
		for n, more := 0, true; more; n++ {
			var ids []string
			f.waitUntil(store.name+" answers", func() (answered bool) {
				ids, more, answered = messagesAt(client, store, n)
				return answered && (more || n > 0) // a store that has just started knows no partition
			})
			for _, id := range ids {
				if first, known := partitionOf[id]; known && first != n {
					f.t.Errorf("TWICE: %s, which was sent once, is in the partitions %d and %d", id, first, n)
				}
				partitionOf[id] = n
			}
		}
	}
	if len(partitionOf) == 0 {
		f.t.Errorf("no store holds any message of %s", tr)
	}
}

// messagesAt returns the identifiers of the messages that a store holds of a partition. more
// is false if there is no such partition, answered if the store does not answer.
func messagesAt(client *rpc.Client, store *node, n int) (ids []string, more, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var digest partition.DigestResponse
	address := net.JoinHostPort(store.ip, strconv.Itoa(portInternal))
	err := client.Call(ctx, address, "/digest", partition.DigestRequest{Partition: n}, nil, &digest)
	if err != nil {
		return nil, false, rpc.Answered(err)
	}
	for _, state := range []partition.State{partition.Pending, partition.Complete, partition.DeadLetter} {
		ids = append(ids, digest.IDs[state]...)
	}
	return ids, true, true
}
