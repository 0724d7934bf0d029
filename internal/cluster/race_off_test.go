//go:build !race

package cluster

// messageSchedules is how many message schedules a build runs.
const messageSchedules = 16
