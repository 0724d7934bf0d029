package controller

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"saltreel/internal/placement"
)

// ErrNotController says that this core does not hold the lease.
var ErrNotController = errors.New("this core is not the controller")

// StatusCode maps the errors of this package to the status of a call, 0 for
// other errors.
func StatusCode(err error) int {
	if errors.Is(err, ErrNotController) {
		return http.StatusMisdirectedRequest
	}
	return 0
}

// pathFailureReport is the path of the call that HandleFailureReport answers.
const pathFailureReport = "/suspect"

// HandleFailureReport probes the node that a report names if this core holds the
// lease, and answers whether it does.
func (c *Controller) HandleFailureReport(_ context.Context, in *placement.FailureReport, _ []byte) (*placement.FailureReportResponse, error) {
	_, held := c.lease.Held()
	if held {
		c.config.Go(func(ctx context.Context) { c.failures.probe(ctx, in.Node) })
	}
	return &placement.FailureReportResponse{Controller: held}, nil
}

// reportOverdueStores reports the stores whose heartbeats to this core are
// overdue to all cores, since any may hold the lease.
func (c *Controller) reportOverdueStores(ctx context.Context) {
	for _, name := range c.config.Registry.OverdueStores(c.timing.heartbeatOverdueAfter(), c.timing.heartbeatOverdueBefore()) {
		report := placement.FailureReport{Node: name}
		_, _ = c.HandleFailureReport(ctx, &report, nil)
		for _, peer := range c.config.Registry.Peers() {
			c.config.Go(func(ctx context.Context) {
				ctx, cancel := context.WithTimeout(ctx, c.timing.reportTimeout())
				defer cancel()
				_ = c.config.Client.Call(ctx, peer, pathFailureReport, report, nil, nil)
			})
		}
	}
}

// HandleInSyncReport notes reports of backups that hold everything, for the next
// placement. The error is ErrNotController.
func (c *Controller) HandleInSyncReport(_ context.Context, in *placement.InSyncReport, _ []byte) (*struct{}, error) {
	if _, held := c.lease.Held(); !held {
		return nil, ErrNotController
	}
	c.inSync.add(in.Replicas)
	c.Wake()
	return &struct{}{}, nil
}

// inSyncReports are the replicas that were reported as in sync. They go into the
// next placement all at once: a change of the placement for each would keep the
// cores busy. The zero value is ready for use.
type inSyncReports struct {
	mu       sync.Mutex
	reported map[placement.Replica]bool
}

func (r *inSyncReports) add(replicas []placement.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reported == nil {
		r.reported = map[placement.Replica]bool{}
	}
	for _, replica := range replicas {
		r.reported[replica] = true
	}
}

// apply marks the reported replicas in a placement; it says whether that changed
// the placement.
func (r *inSyncReports) apply(p *placement.Placement) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for replica := range r.reported {
		marked, obsolete := markInSync(p, replica)
		changed = changed || marked
		if obsolete {
			delete(r.reported, replica)
		}
	}
	return changed
}

// markInSync marks one replica in a placement. A report is obsolete once it is in
// force, or the partition is in a later epoch. One of an epoch that is not yet
// known here stays for a later placement.
func markInSync(p *placement.Placement, replica placement.Replica) (marked, obsolete bool) {
	if replica.Partition >= len(p.Partitions) {
		return false, true
	}
	partition := &p.Partitions[replica.Partition]
	if partition.Epoch != replica.Epoch {
		return false, partition.Epoch > replica.Epoch
	}
	if !partition.HasReplica(replica.Store) {
		return false, false
	}
	marked = partition.MarkInSync(replica.Store)
	return marked, !marked
}
