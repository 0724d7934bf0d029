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
	if err != nil && ctx.Err() == nil && rpc.StatusCode(err) == 0 { // no response
		c.node.ReportFailure(store, httpwire.ConnectionRefused(err))
	}
	return rawOut, err
}
