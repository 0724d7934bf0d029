//go:build race

package cluster

// defaultMessageSchedules is the number of schedules that the message search runs
// by default. It is lower than without the race detector, under which a schedule
// takes several times as long.
const defaultMessageSchedules = 4
