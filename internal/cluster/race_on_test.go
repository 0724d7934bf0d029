//go:build race

package cluster

// messageSchedules is how many message schedules a build runs. Under the race
// detector one takes several times as long.
const messageSchedules = 4
