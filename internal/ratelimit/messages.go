// Package ratelimit bounds how many messages of a tenant the system accepts,
// over all edges together. It has two sides. The owner of a tenant, the store
// that is primary of the partition of the tenant's name, runs its token bucket
// (Limiter). The edges lease tokens from it ahead of demand (Leases), so that
// most messages are admitted without a call; a lease that is not used returns
// to the bucket.
package ratelimit

import (
	"errors"

	"saltreel/internal/ring"
)

// LeasePath is the path of the call by which edges lease quota. It is not
// idempotent: each request that is answered takes tokens out of the bucket.
const LeasePath = "/grant"

// QuotaLeaseRequest asks the owner of some tenants for quota, in messages by
// the tenant's name.
type QuotaLeaseRequest struct {
	Partitions int                `json:"partitions"` // of the placement that the edge goes by
	Requested  map[string]float64 `json:"want"`
	Returned   map[string]float64 `json:"back,omitempty"` // leased earlier, expired and not used
	// AdmittedUnleased is what the edge admitted without a lease while the owner did not
	// answer.
	AdmittedUnleased map[string]float64 `json:"spent,omitempty"`
}

// QuotaLeaseResponse leases quota, in messages by the tenant's name. Where it
// is less than was wanted, it says in how many milliseconds to ask again.
type QuotaLeaseResponse struct {
	Granted      map[string]float64 `json:"given"`
	RetryAfterMs map[string]int64   `json:"wait,omitempty"`
}

// Errors of the owner's side.
var (
	// ErrNoConfiguration means that the tenants' limits are not known yet.
	ErrNoConfiguration = errors.New("no configuration is known here")
	// ErrCallerTimedOut means that the edge waits no longer. Nothing was leased:
	// what is leased to nobody is lost to the tenant.
	ErrCallerTimedOut = errors.New("the caller waits no longer")
)

// NotOwnerError means that another store owns the tenant's token bucket.
type NotOwnerError struct{ Tenant string }

func (e *NotOwnerError) Error() string { return "the limiter of " + e.Tenant + " is not here" }

// LimiterPartition is the partition whose primary owns a tenant's token bucket.
func LimiterPartition(tenant string, partitions int) int {
	return int(ring.Hash("meter", tenant) % uint64(partitions))
}
