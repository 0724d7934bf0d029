//go:build race

package cluster

// messageSchedules is the default number of schedules of the message search. It
// is lower than without the race detector, under which a schedule takes several
// times as long.
const messageSchedules = 4
