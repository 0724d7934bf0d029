package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/configuration"
)

// A meter that moves is out of reach for a moment, again and again. What an edge
// lets through meanwhile is its share of the rate for that time, however often.
func TestAnEdgeAloneGivesForTheTimeThatItIs(t *testing.T) {
	for _, outage := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			g, tenant := &grants{}, &configuration.Tenant{Name: "a", RatePerS: 200}
			x := &grant{rate: 500, granted: 100}
			let, total := 0, time.Duration(0)
			for range 8 {
				x.meter = time.Now() // it answers
				for end := time.Now().Add(outage); time.Now().Before(end); time.Sleep(time.Millisecond) {
					if g.alone(x, tenant, time.Now()) {
						let++
					}
				}
				total += outage
				time.Sleep(200 * time.Millisecond) // within reach
			}
			if most := x.granted * total.Seconds(); float64(let) > most || float64(let) < most*3/4-8 {
				t.Errorf("8 times %v: %d let through, %v at the most", outage, let, most)
			}
			if float64(let) != x.spent {
				t.Errorf("%d let through, the meter is to hear of %v", let, x.spent)
			}
		})
	}
}
