package controller

import (
	"context"
	"log"
	"sync"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
	"saltreel/internal/rpc"
)

// failureDetector tracks which stores have failed. A store is suspected when its
// heartbeats are overdue or another process reports it, and is marked as failed when
// a probe of it fails too. It recovers with its next heartbeat.
type failureDetector struct {
	registry     Registry
	client       Caller
	timing       timing
	hostFailures int
	log          *log.Logger
	onFailure    func()

	mu          sync.Mutex
	failedSince map[string]time.Time // start time of the failed probe, by node
	probedSince map[string]time.Time // start time of the probe in progress, by node
}

func newFailureDetector(config Config, timing timing, onFailure func()) *failureDetector {
	return &failureDetector{
		registry:     config.Registry,
		client:       config.Client,
		timing:       timing,
		hostFailures: config.HostFailures,
		log:          config.Log,
		onFailure:    onFailure,
		failedSince:  map[string]time.Time{},
		probedSince:  map[string]time.Time{},
	}
}

// storeStatuses returns the status of all stores by name, after probing those whose
// last heartbeat is older than probeAfter.
func (d *failureDetector) storeStatuses(ctx context.Context) map[string]placement.StoreStatus {
	var probes sync.WaitGroup
	for name, n := range d.registry.Nodes() {
		if n.Role == "store" && n.Age > d.timing.probeAfter() {
			probes.Go(func() { d.probe(ctx, name) })
		}
	}
	probes.Wait()
	out := map[string]placement.StoreStatus{}
	for name, n := range d.registry.Nodes() {
		if n.Role == "store" {
			out[name] = placement.StoreStatus{Node: n.Node, Alive: !d.hasFailed(name, n.Age)}
		}
	}
	return out
}

// hasFailed reports whether a node has failed and has not sent a heartbeat since. If it
// has sent one, the failure is cleared.
func (d *failureDetector) hasFailed(name string, heartbeatAge time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, failed := d.failedSince[name]
	if failed && time.Now().Add(-heartbeatAge).After(since) {
		delete(d.failedSince, name)
		d.log.Printf("controller: %s is back", name)
		return false
	}
	return failed
}

// probe pings a suspected node and marks it as failed if the ping fails. If more
// probes are unanswered than hosts may fail at once, it pings again with a longer
// timeout, since this core or the network is then more likely to be slow.
func (d *failureDetector) probe(ctx context.Context, name string) {
	n, ok := d.registry.Nodes()[name]
	if !ok || !d.beginProbe(name) {
		return
	}
	defer d.endProbe(name)
	began := time.Now()
	err := d.ping(ctx, n.Address, d.timing.probeTimeout())
	if isUnanswered(err) && d.isCorrelated() {
		began = time.Now()
		err = d.ping(ctx, n.Address, d.timing.correlatedProbeTimeout())
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	d.log.Printf("controller: %s has failed: %v", name, err)
	d.mu.Lock()
	d.failedSince[name] = began
	d.mu.Unlock()
	d.onFailure()
}

// maxPingAttempts is the maximum number of pings of a probe whose timeouts all expire
// late on this core.
const maxPingAttempts = 3

// ping pings a node until it answers or a timeout expires on time. A timeout that
// expires late shows that this core did not get the CPU, and says nothing about the node.
func (d *failureDetector) ping(ctx context.Context, address string, timeout time.Duration) error {
	var err error
	for range maxPingAttempts {
		var expiredLate bool
		expiredLate, err = d.pingOnce(ctx, address, timeout)
		if !isUnanswered(err) || !expiredLate {
			return err
		}
	}
	return err
}

// pingOnce opens a connection, unless there is one, and pings over it. The timeout
// applies to each of the two steps: over a slow network, opening a connection takes as
// long as the call. expiredLate reports that the timeout expired late on this core.
func (d *failureDetector) pingOnce(ctx context.Context, address string, timeout time.Duration) (expiredLate bool, err error) {
	steps := []func(ctx context.Context) error{
		func(ctx context.Context) error { return d.client.Connect(ctx, address) },
		func(ctx context.Context) error { return d.client.Call(ctx, address, "/ping", struct{}{}, nil, nil) },
	}
	for _, step := range steps {
		began := time.Now()
		stepCtx, cancel := context.WithTimeout(ctx, timeout)
		err = step(stepCtx)
		cancel()
		if err != nil {
			return time.Since(began) >= timeout+d.timing.timeoutTolerance(timeout), err
		}
	}
	return false, nil
}

// isUnanswered reports whether a probe ended without any response from the host,
// not even a refused connection.
func isUnanswered(err error) bool {
	return err != nil && !rpc.Answered(err) && !httpwire.ConnectionRefused(err)
}

// beginProbe registers a probe of a node. It returns false if the node is already being
// probed or has failed.
func (d *failureDetector) beginProbe(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, failed := d.failedSince[name]
	_, probed := d.probedSince[name]
	if failed || probed {
		return false
	}
	d.probedSince[name] = time.Now()
	return true
}

func (d *failureDetector) endProbe(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.probedSince, name)
}

// isCorrelated reports whether more probes are unanswered than hosts may fail at
// once.
func (d *failureDetector) isCorrelated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return countUnanswered(d.probedSince, time.Now(), d.timing.unansweredAfter()) > d.hostFailures
}

// countUnanswered returns the number of probes that have been in progress for longer
// than the given time.
func countUnanswered(probedSince map[string]time.Time, now time.Time, after time.Duration) int {
	n := 0
	for _, since := range probedSince {
		if now.Sub(since) > after {
			n++
		}
	}
	return n
}
