package node

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/placement"
)

// controllerAddress caches the address of the core that last responded as the
// controller, which reassigns partitions; "" while it is not known.
type controllerAddress struct {
	mu      sync.Mutex
	address string
}

func (c *controllerAddress) get() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}

func (c *controllerAddress) set(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
}

// reportLimiter limits the rate of the failure reports that a node sends. In a
// widespread slowdown, hundreds of nodes suspect dozens of others; each then sends one
// report per interval. A refused connection is proof that no process listens, so such
// a report is limited only by earlier reports about the same node.
type reportLimiter struct {
	interval time.Duration

	mu         sync.Mutex
	lastByNode map[string]time.Time
	last       time.Time
}

func newReportLimiter(interval time.Duration) reportLimiter {
	return reportLimiter{interval: interval, lastByNode: map[string]time.Time{}}
}

// allow reports whether a failure of the node may be reported now, and if so counts
// the report.
func (r *reportLimiter) allow(node string, refused bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.lastByNode[node]) < r.interval {
		return false
	}
	if !refused && now.Sub(r.last) < r.interval {
		return false
	}
	r.lastByNode[node] = now
	r.last = now
	return true
}

// ReportFailure reports to the controller that a node is unreachable, without waiting
// for the response; refused means that its host refused the connection. If the
// controller is not known or does not respond, the report is sent to all cores.
// Reports above the rate limit are dropped.
func (n *Node) ReportFailure(node string, refused bool) {
	if !n.reportLimiter.allow(node, refused) {
		return
	}
	report := placement.FailureReport{Node: node, Refused: refused}
	controller := n.controller.get()
	n.subscriber.SuspectParent() // the parent may be the failed node, or unreachable like it
	if controller == "" {
		n.reportToAllCores(report)
		return
	}
	n.background.start(func() {
		if !n.sendFailureReport(controller, report) {
			n.controller.set("")
			n.reportToAllCores(report)
		}
	})
}

// reportToAllCores sends a failure report to each core and caches the address of the
// one that responds as the controller.
func (n *Node) reportToAllCores(report placement.FailureReport) {
	for _, core := range n.Cores() {
		n.background.start(func() {
			if n.sendFailureReport(core, report) {
				n.controller.set(core)
			}
		})
	}
}

// sendFailureReport sends a failure report to a core and reports whether it responded
// as the controller.
func (n *Node) sendFailureReport(core string, report placement.FailureReport) bool {
	ctx, cancel := context.WithTimeout(n.background.ctx, n.timing.reportTimeout())
	defer cancel()
	var response placement.FailureReportResponse
	err := n.Client.Call(ctx, core, "/suspect", report, nil, &response)
	return err == nil && response.Controller
}

// ReportInSync reports to the controller which replicas are in sync. It tries the
// cores one after the other, the last known controller first, until one accepts the
// report; the error is that of the last core tried.
func (n *Node) ReportInSync(ctx context.Context, report placement.InSyncReport) error {
	var lastErr error
	for _, core := range append([]string{n.controller.get()}, n.Cores()...) {
		if core == "" {
			continue
		}
		lastErr = n.sendInSync(ctx, core, report)
		if lastErr == nil {
			n.controller.set(core)
			return nil
		}
	}
	return lastErr
}

func (n *Node) sendInSync(ctx context.Context, core string, report placement.InSyncReport) error {
	ctx, cancel := context.WithTimeout(ctx, n.timing.inSyncTimeout())
	defer cancel()
	return n.Client.Call(ctx, core, "/in-step", report, nil, nil)
}
