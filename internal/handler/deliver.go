package handler

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"saltreel/internal/httpwire"
)

// Delivery is one attempt to deliver a message to a handler. Instance, Tenant, OrderKey and
// Type are not sent if they are empty.
type Delivery struct {
	Address  string
	Instance string // expected at the address; empty for a static endpoint
	ID       string // message ID
	Tenant   string
	OrderKey string
	Method   string
	Target   string
	Host     string
	Type     string // of the body
	Body     []byte
	Timeout  time.Duration // also sent to the handler as its deadline
}

// Result is the outcome of an attempt with its details.
type Result struct {
	Outcome             Outcome
	Seal                string
	Status              int   // 0: there was no response
	Err                 error // why there was no response
	IdleConnectionBroke bool  // a reused idle connection broke, which is no evidence of a failed handler
}

// Deliver sends the message and waits for the outcome.
func Deliver(ctx context.Context, pool *httpwire.Pool, d Delivery) Result {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	answer, err := pool.Do(ctx, d.Address, d.call())
	if err != nil {
		return failedResult(fmt.Errorf("deliver %s: %w", d.ID, err))
	}
	return Result{
		Outcome: outcomeOf(answer),
		Seal:    answer.Header.Get(headerSeal),
		Status:  answer.Status,
	}
}

// call builds the request. The response must echo the attempt ID.
func (d *Delivery) call() *httpwire.Call {
	call := &httpwire.Call{
		Method:     d.Method,
		Target:     d.Target,
		Host:       d.Host,
		Body:       d.Body,
		EchoHeader: headerAttemptID,
		// Only the status and the header of the response matter.
		DiscardBody: true,
		Header: []string{
			headerAttemptID, d.ID,
			headerDeadline, strconv.FormatInt(d.Timeout.Milliseconds(), 10),
		},
	}
	for _, field := range [...][2]string{
		{headerTenant, d.Tenant},
		{headerOrderKey, d.OrderKey},
		{headerExpectInstance, d.Instance},
		{"Content-Type", d.Type},
	} {
		if name, value := field[0], field[1]; value != "" {
			call.Header = append(call.Header, name, value)
		}
	}
	return call
}

// failedResult classifies an attempt without a complete response.
func failedResult(err error) Result {
	if httpwire.NotSent(err) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return Result{Outcome: NoResponse, Err: err}
	}
	var e *httpwire.Error
	return Result{Outcome: Indeterminate, Err: err, IdleConnectionBroke: errors.As(err, &e) && e.Reused}
}
