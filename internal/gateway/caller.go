package gateway

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/node"
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

// call makes one call, and returns the raw bytes behind the answer. The names of
// the gateway are filled in.
func (c *brokerCaller) call(ctx context.Context, store, address, path string, timeout time.Duration, in, out any) ([]byte, error) {
	switch in := in.(type) {
	case *topic.FollowRequest:
		in.Gateway = c.gateway
	case *topic.PollRequest:
		in.Gateway = c.gateway
	}
	return c.callWith(ctx, store, address, path, timeout, in, nil, out)
}

// callWith is call with raw bytes behind the request.
func (c *brokerCaller) callWith(ctx context.Context, store, address, path string, timeout time.Duration, in any, raw []byte, out any) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if path != topic.PathPoll {
		early := time.AfterFunc(c.timing.suspect(), func() { c.node.ReportFailure(store, false) })
		defer early.Stop()
	}
	answer, err := c.node.Client.CallRaw(callCtx, address, path, in, raw, out)
	if err != nil && ctx.Err() == nil && isUnanswered(err) {
		c.node.ReportFailure(store, httpwire.ConnectionRefused(err))
	}
	return answer, err
}
