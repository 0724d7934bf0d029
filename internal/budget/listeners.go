package budget

import "saltreel/internal/settings"

// Share of the memory of a process that all its peers together may use. Half of the
// memory is the limit of the Go runtime: the other quarter is left to the state of the
// process and to garbage.
const peerMemoryDivisor = 4

// reservedDescriptors is how many descriptors a process needs for other purposes than
// connections: files, listeners, and those of the machine.
const reservedDescriptors = 264

// share is a part of the memory or of the descriptors, in units of 1/32.
type share int

const wholeShare share = 32

// Shares of a process that serves clients. The descriptors that are left are for
// connections to other processes: at least one for each client.
const (
	clientMemory         share = 20
	internalMemory       share = 10
	readinessMemory      share = 2
	clientDescriptors    share = 12
	internalDescriptors  share = 6
	readinessDescriptors share = 1
)

// Shares of a process that serves only other processes of the system. A third of its
// memory is for the messages that it stores.
const (
	storeMemory      share = 16
	storeDescriptors share = 16
)

// Listeners holds the budgets of the listeners of one process. Each has its own, so that
// the peers at one listener cannot exhaust what those at another one need.
type Listeners struct {
	Clients   *Budget // clients, or handlers and the operator
	Internal  *Budget // other processes of the system
	Readiness *Budget // the platform's readiness probe
}

// ForClients returns the budgets of a process that serves clients, or handlers and the
// operator, besides the other processes of the system.
func ForClients(limits *settings.Limits) Listeners {
	return Listeners{
		Clients:   newShare(limits, clientMemory, clientDescriptors),
		Internal:  newShare(limits, internalMemory, internalDescriptors),
		Readiness: newShare(limits, readinessMemory, readinessDescriptors),
	}
}

// ForStore returns the budget of a process that serves only other processes of the system.
func ForStore(limits *settings.Limits) *Budget {
	return newShare(limits, storeMemory, storeDescriptors)
}

// newShare returns a budget of parts of limits.memory-mb and limits.max-fds. A limit that
// is not set is no bound.
func newShare(limits *settings.Limits, memory, descriptors share) *Budget {
	bytes := int(limits.MemoryMb<<20) / peerMemoryDivisor * int(memory) / int(wholeShare)
	connections := 0
	if limits.MaxFds > 0 {
		usable := max(0, int(limits.MaxFds)-reservedDescriptors)
		connections = max(1, usable*int(descriptors)/int(wholeShare))
	}
	return New(bytes, connections)
}
