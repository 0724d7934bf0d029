package cluster

import "testing"

// Schedules that the search found, as small as it could make them. Each failed
// on the code of its day.
func TestSchedulesFoundBySearch(t *testing.T) {
	for name, plan := range map[string]schedule{
		// The head is lost, and a write meets a member that is in the next view
		// already: its 409 was given to the operator as a rejection, though the
		// head had stored the write.
		"a sealed view rejects a stored write": {Cores: 3, HostFailures: 1, Steps: []step{{Kind: stepWrite}}},
		// Of the acknowledged writes only the last 64 were known.
		"a write acknowledged many writes ago is rejected": {Cores: 3, HostFailures: 1, Steps: []step{
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
