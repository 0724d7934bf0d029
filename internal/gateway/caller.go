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

// brokerCaller calls brokers in the name of this gateway, and reports those that
// do not answer.
type brokerCaller struct {
	node    *node.Node
	timing  timing
	gateway string // name of this gateway
	tasks   sync.WaitGroup
}

// call makes one call, with raw bytes behind it unless raw is nil, and returns those
// behind the answer.
func (c *brokerCaller) call(ctx context.Context, store, address, path string, timeout time.Duration, in any, raw []byte, out any) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if path != topic.PathPoll {
		early := time.AfterFunc(c.timing.suspectTimeout(), func() { c.node.ReportFailure(store, false) })
		defer early.Stop()
	}
	answer, err := c.node.Client.CallRaw(callCtx, address, path, in, raw, out)
	if err != nil && ctx.Err() == nil && rpc.StatusCode(err) == 0 { // there was no answer
		c.node.ReportFailure(store, httpwire.ConnectionRefused(err))
	}
	return answer, err
}
