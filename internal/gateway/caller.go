package gateway

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/node"
	"saltreel/internal/rpc"
	"saltreel/internal/topic"
)

// brokerCaller calls brokers on behalf of this gateway, and reports brokers that do not
// respond.
type brokerCaller struct {
	node    *node.Node
	timing  timing
	gateway string // name of this gateway
	tasks   sync.WaitGroup

	callsPerBroker int // limit of concurrent calls of callForClient to one broker
	mu             sync.Mutex
	slots          map[string]chan struct{} // by broker; semaphores for callForClient
}

// slotsOf returns the semaphore for the calls to a broker on behalf of clients.
func (c *brokerCaller) slotsOf(store string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	slots := c.slots[store]
	if slots == nil {
		if c.slots == nil {
			c.slots = map[string]chan struct{}{}
		}
		slots = make(chan struct{}, c.callsPerBroker)
		c.slots[store] = slots
	}
	return slots
}

// callForClient is like call, for a command of a client. The number of these calls to one
// broker is limited, whatever clients send; ctx bounds the wait.
func (c *brokerCaller) callForClient(ctx context.Context, store, address, path string, timeout time.Duration, in any, raw []byte, out any) error {
	slots := c.slotsOf(store)
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-slots }()
	_, err := c.call(ctx, store, address, path, timeout, in, raw, out)
	return err
}

// call makes one call and returns the raw bytes that follow the response. The request is
// followed by raw, unless raw is nil. A broker that has not responded within the suspect
// timeout is reported while the call continues, except for polls, which wait for messages.
func (c *brokerCaller) call(ctx context.Context, store, address, path string, timeout time.Duration, in any, raw []byte, out any) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if path != topic.PathPoll {
		suspectTimer := time.AfterFunc(c.timing.suspectTimeout(), func() { c.node.ReportFailure(store, false) })
		defer suspectTimer.Stop()
	}
	rawOut, err := c.node.Client.CallRaw(callCtx, address, path, in, raw, out)
	if err != nil && ctx.Err() == nil && !rpc.Answered(err) {
		c.node.ReportFailure(store, httpwire.ConnectionRefused(err))
	}
	return rawOut, err
}
