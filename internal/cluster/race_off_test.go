//go:build !race

package cluster

// defaultMessageSchedules is the number of schedules that the message search runs
// by default.
const defaultMessageSchedules = 16
