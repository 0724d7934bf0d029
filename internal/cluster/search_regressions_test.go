package cluster

import "testing"

// Schedules that the search found, as small as it could make them, without the
// drawing. Each failed on the code of its day.
func TestSchedulesFoundBySearch(t *testing.T) {
	for name, plan := range map[string]schedule{
		// The head is lost, and an order meets a member that is in the next view
		// already: its 409 was told to the operator as a refusal, though the head
		// had written the order.
		"an order is refused by a view that is sealed": {Cores: 3, HostFailures: 1, Steps: []step{{Kind: stepWrite}}},
		// Of the orders that were taken only the last 64 were known.
		"an order is refused that was taken many changes ago": {Cores: 3, HostFailures: 1, Steps: []step{
			{Kind: stepBurst, N: 99}, {Kind: stepResend, WaitMs: 9000, B: 2}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if f := runSchedule(t, plan, plantedFault{}); f != nil {
				t.Error(f)
			}
		})
	}
}
