package handler

import (
	"net/http"

	"saltreel/internal/httpwire"
)

// Outcome is the result of one attempt to deliver a message.
type Outcome int

// The outcomes of an attempt.
const (
	Done          Outcome = iota // it ran and succeeded; the response carries a seal
	Refused                      // the handler will never run it
	Failed                       // it ran and failed; a later attempt may succeed
	NotExecuted                  // the handler declined before running it
	WrongInstance                // another instance responded at the address
	Indeterminate                // the message may have run
	NoResponse                   // no response in time, or no connection
)

func (o Outcome) String() string {
	return [...]string{"done", "refused", "failed", "not executed", "wrong instance", "indeterminate", "no response"}[o]
}

// Headers of deliveries and their responses; part of the public interface.
const (
	headerAttemptID      = "Saltreel-Attempt-Id"
	headerDeadline       = "Saltreel-Deadline-Ms"
	headerTenant         = "Saltreel-Tenant"
	headerOrderKey       = "Saltreel-Order-Key"
	headerExpectInstance = "Saltreel-Expect-Instance"
	headerSeal           = "Saltreel-Server-Seal"  // proof that the handler ran the message
	headerNotExecuted    = "Saltreel-Not-Executed" // set if the handler did not run the message
)

// outcomeOf classifies a complete response.
func outcomeOf(a *httpwire.ClientResponse) Outcome {
	if a.Status == http.StatusMisdirectedRequest {
		return WrongInstance
	}
	if a.Header.Get(headerNotExecuted) != "" {
		return NotExecuted
	}
	if a.Status/100 == 2 && a.Header.Get(headerSeal) != "" {
		return Done
	}
	switch a.Status {
	case http.StatusUnprocessableEntity:
		return Refused
	case http.StatusInternalServerError:
		return Failed
	case http.StatusBadRequest, http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return NotExecuted
	}
	return Indeterminate // such as success without a seal, or a proxy's response
}
