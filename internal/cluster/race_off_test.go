//go:build !race

package cluster

// messageSchedules is the default number of schedules of the message search.
const messageSchedules = 16
