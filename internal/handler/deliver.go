package handler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"saltreel/internal/httpwire"
)

// Outcome is what became of one attempt.
type Outcome int

// The outcomes of an attempt.
const (
	Done    Outcome = iota // success, with a seal
	Refused                // can never be done
	Failed                 // this attempt failed; a later one may succeed
	NotRun                 // declined: it did not run
	Wrong                  // another handler answers at the address
	Unclear                // it may have run
	Silent                 // no answer came in time, or no connection
)

func (o Outcome) String() string {
	return [...]string{"done", "refused", "failed", "not run", "wrong handler", "unclear", "silent"}[o]
}

// Delivery is one attempt to hand a message to a handler.
type Delivery struct {
	Address  string
	Instance string // expected; empty for a fixed endpoint
	ID       string
	Tenant   string
	OrderKey string
	Method   string
	Target   string
	Host     string
	Type     string
	Body     []byte
	Timeout  time.Duration
}

// Result is the outcome with what came along.
type Result struct {
	Outcome Outcome
	Seal    string
	Status  int
	Err     error
	Kept    bool // an idle connection broke: no sign against the handler
}

// Deliver makes the attempt.
func Deliver(ctx context.Context, pool *httpwire.Pool, d Delivery) Result {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	call := &httpwire.Call{Method: d.Method, Target: d.Target, Host: d.Host, Body: d.Body, Repeats: "Saltreel-Attempt-Id", Header: []string{
		"Saltreel-Attempt-Id", d.ID,
		"Saltreel-Deadline-Ms", strconv.FormatInt(d.Timeout.Milliseconds(), 10),
	}}
	for _, h := range [...][2]string{{"Saltreel-Tenant", d.Tenant}, {"Saltreel-Order-Key", d.OrderKey}, {"Saltreel-Expect-Instance", d.Instance}, {"Content-Type", d.Type}} {
		if h[1] != "" {
			call.Header = append(call.Header, h[0], h[1])
		}
	}
	a, err := pool.Do(ctx, d.Address, call)
	if err != nil {
		err = fmt.Errorf("deliver %s: %w", d.ID, err)
		if httpwire.NotSent(err) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
			return Result{Outcome: Silent, Err: err}
		}
		var e *httpwire.Error
		return Result{Outcome: Unclear, Err: err, Kept: errors.As(err, &e) && e.Reused}
	}
	return classify(a)
}

func classify(a *httpwire.Answer) Result {
	r := Result{Status: a.Status, Seal: a.Header.Get("Saltreel-Server-Seal")}
	declined := a.Header.Get("Saltreel-Not-Executed") != ""
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		r.Outcome = Wrong
	case declined:
		r.Outcome = NotRun
	case a.Status/100 == 2 && r.Seal != "":
		r.Outcome = Done
	case a.Status == http.StatusUnprocessableEntity:
		r.Outcome = Refused
	case a.Status == http.StatusInternalServerError:
		r.Outcome = Failed
	case a.Status == http.StatusConflict, a.Status == http.StatusTooManyRequests, a.Status == http.StatusServiceUnavailable, a.Status == http.StatusBadRequest:
		r.Outcome = NotRun
	default:
		r.Outcome = Unclear
	}
	return r
}
