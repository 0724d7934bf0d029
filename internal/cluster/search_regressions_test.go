package cluster

import "testing"

// Regression tests: shrunk schedules with which the search found faults that have
// since been fixed.
func TestSchedulesFoundBySearch(t *testing.T) {
	for name, plan := range map[string]schedule{
		// The head is lost while it replicates a write to a member that is already
		// in the next view. The 409 of that member was returned to the operator as
		// a rejection, although the head had stored the write.
		"a sealed view rejects a stored write": {Cores: 3, HostFailures: 1, Steps: []step{{Kind: stepWrite}}},
		// Only the last 64 acknowledged writes were remembered, so the resend of
		// an older one was rejected.
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
