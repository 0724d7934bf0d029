package delivery

import (
	"math/rand/v2"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/settings"
)

// Weights of the cost function, as multiples of the full load of an endpoint. The endpoint with
// the lowest total cost is picked.
const (
	costOtherZone        = 2.0
	costOtherRegion      = 1.0 // in addition to costOtherZone
	costPreviousEndpoint = 4.0 // prefers another endpoint over the one that failed
	costSlowStart        = 0.5
	costProbing          = 1.0
	costFailureRate      = 4.0       // per unit of failure rate above baselineFailureRate
	costJitter           = 1.0 / 8.0 // maximum; keeps stores from all picking the same endpoint
)

// pickEndpointLocked picks the endpoint for a message: the least loaded one, with a preference
// for the local zone. If none is free, it returns nil and the time until the next check.
func (s *Scheduler) pickEndpointLocked(service *configuration.Service, m *message, now time.Time) (*endpoint, time.Duration) {
	endpoints := s.endpoints.forService(service)
	static := service.StaticEndpoint != ""
	pick := picker{settings: s.config.Settings, timing: s.timing, now: now, message: m}
	pick.localUsable = pick.hasUsableLocal(endpoints)
	var best *endpoint
	bestCost := 0.0
	wait := s.timing.endpointRecheck()
	for _, e := range endpoints {
		if e.static != static || static && e.Address != service.StaticEndpoint {
			continue
		}
		cost, recheck, free := pick.cost(e)
		if !free {
			wait = min(wait, recheck)
			continue
		}
		if best == nil || cost < bestCost {
			best = e
			bestCost = cost
		}
	}
	return best, wait
}

// picker computes the costs of endpoints for one message.
type picker struct {
	settings    *settings.Settings
	timing      timing
	now         time.Time
	message     *message
	localUsable bool // an endpoint in the local zone is healthy or in slow start
}

// hasUsableLocal reports whether an endpoint in the local zone is healthy or in slow start.
func (p *picker) hasUsableLocal(endpoints map[string]*endpoint) bool {
	for _, e := range endpoints {
		if e.static || e.Zone != p.settings.Zone {
			continue
		}
		if state := e.health.state(p.now); state == healthy || state == slowStart {
			return true
		}
	}
	return false
}

// cost returns the cost of an endpoint, or the time until the next check if it is not free for
// the message.
func (p *picker) cost(e *endpoint) (cost float64, recheck time.Duration, free bool) {
	state := e.health.state(p.now)
	if !state.available() {
		return 0, e.health.blockedUntil.Sub(p.now), false
	}
	remote := !e.static && e.Zone != p.settings.Zone
	limit := p.limit(e, state, remote)
	if e.inFlight >= limit {
		return 0, p.timing.endpointRecheck(), false
	}
	if remote && p.localUsable && p.now.Sub(p.message.eligibleSince) < p.timing.localityDelay() {
		return 0, p.timing.localRecheck(), false
	}
	cost = float64(e.inFlight) / float64(limit)
	if remote {
		cost += p.localityCost(e)
	}
	if e.ID != "" && e.ID == p.message.lastEndpoint {
		cost += costPreviousEndpoint
	}
	cost += e.health.cost(p.now)
	return cost + rand.Float64()*costJitter, 0, true
}

// limit returns the maximum number of deliveries in flight to an endpoint. While the local zone
// has usable endpoints, half of the capacity of remote ones is left to the stores there.
func (p *picker) limit(e *endpoint, state endpointState, remote bool) int {
	switch {
	case state == probing:
		return 1
	case remote && p.localUsable:
		return max(1, e.capacity()/2)
	}
	return e.capacity()
}

// localityCost returns the cost of an endpoint in another zone.
func (p *picker) localityCost(e *endpoint) float64 {
	if p.settings.Zones[e.Zone] != p.settings.Region {
		return costOtherZone + costOtherRegion
	}
	return costOtherZone
}

// cost returns the cost that the health of an endpoint adds. An endpoint that often fails is
// picked only if no other is free. An endpoint that was ejected during its slow start pays
// for both.
func (h *endpointHealth) cost(now time.Time) float64 {
	cost := costFailureRate * max(0, h.failureRate-baselineFailureRate)
	if now.Before(h.slowStartUntil) {
		cost += costSlowStart
	}
	if h.needsProbe {
		cost += costProbing
	}
	return cost
}
