package controller

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"saltreel/internal/placement"
)

// ErrNotController is returned by a core that does not hold the controller lease.
var ErrNotController = errors.New("this core is not the controller")

// StatusCode returns the HTTP status code for an error of this package, or 0 for other
// errors.
func StatusCode(err error) int {
	if errors.Is(err, ErrNotController) {
		return http.StatusMisdirectedRequest
	}
	return 0
}

// pathFailureReport is the path of the RPC that HandleFailureReport handles.
const pathFailureReport = "/suspect"

// HandleFailureReport probes the reported node if this core holds the lease. The
// response tells whether it does.
func (c *Controller) HandleFailureReport(_ context.Context, in *placement.FailureReport, _ []byte) (*placement.FailureReportResponse, error) {
	_, held := c.lease.Held()
	if held {
		c.config.Go(func(ctx context.Context) { c.failures.probe(ctx, in.Node) })
	}
	return &placement.FailureReportResponse{Controller: held}, nil
}

// reportOverdueStores reports the stores whose heartbeats to this core are overdue. It
// reports them to all cores, since any of them may hold the lease.
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

// HandleInSyncReport records replicas that have become in sync, for the next placement.
// It returns ErrNotController if this core does not hold the lease.
func (c *Controller) HandleInSyncReport(_ context.Context, in *placement.InSyncReport, _ []byte) (*struct{}, error) {
	if _, held := c.lease.Held(); !held {
		return nil, ErrNotController
	}
	c.inSync.add(in.Replicas)
	c.Wake()
	return &struct{}{}, nil
}

// inSyncReports collects the replicas that were reported as in sync. They are applied to
// the next placement as one batch, since a new placement for each report would overload
// the cores. The zero value is ready for use.
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

// apply marks the reported replicas as in sync in a placement and drops obsolete reports.
// It reports whether the placement changed.
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

// markInSync marks one replica as in sync in a placement. A report is obsolete once the
// placement includes it or the partition has moved on to a later epoch. A report for an
// epoch that this core has not seen yet is retained for a later placement.
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
