// Package ratelimit limits the rate at which the system accepts messages of a tenant, over
// all edges together. The owner of a tenant is the store that is primary of the partition
// that the name of the tenant hashes to; it runs the token bucket of the tenant (Limiter).
// The edges lease tokens from it ahead of demand (Leases), so that most messages are
// admitted without a call. Tokens that are not used before the lease expires are returned
// to the bucket.
package ratelimit

import (
	"errors"

	"saltreel/internal/ring"
)

// LeasePath is the path of the call with which edges lease tokens. The call is not
// idempotent: each answered request takes tokens out of the bucket.
const LeasePath = "/grant"

// QuotaLeaseRequest requests tokens from the owner of some tenants. The maps are keyed by
// the name of the tenant; one token admits one message.
type QuotaLeaseRequest struct {
	Partitions int                `json:"partitions"` // number of partitions in the placement of the edge
	Requested  map[string]float64 `json:"want"`
	Returned   map[string]float64 `json:"back,omitempty"` // leased earlier, unused and expired
	// AdmittedUnleased counts the messages that the edge admitted without a lease while
	// the owner was unreachable.
	AdmittedUnleased map[string]float64 `json:"spent,omitempty"`
}

// QuotaLeaseResponse grants tokens by the name of the tenant. Where fewer than requested
// were granted, RetryAfterMs is the time in milliseconds until the next request.
type QuotaLeaseResponse struct {
	Granted      map[string]float64 `json:"given"`
	RetryAfterMs map[string]int64   `json:"wait,omitempty"`
}

// Errors of Limiter.Handle.
var (
	// ErrNoConfiguration means that the limits of the tenants are not known yet.
	ErrNoConfiguration = errors.New("no configuration is known here")
	// ErrCallerTimedOut means that the request was canceled before it was processed. No
	// tokens are granted then, since the tenant would lose them.
	ErrCallerTimedOut = errors.New("the caller timed out; no tokens were granted")
)

// NotOwnerError means that another store owns the token bucket of the tenant.
type NotOwnerError struct{ Tenant string }

func (e *NotOwnerError) Error() string { return "tenant " + e.Tenant + " is owned by another store" }

// LimiterPartition returns the partition whose primary owns the token bucket of a tenant.
func LimiterPartition(tenant string, partitions int) int {
	return int(ring.Hash("meter", tenant) % uint64(partitions))
}
