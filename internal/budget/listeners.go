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

// Shares of a gateway, whose clients are connected all the time. Its other descriptors are
// for connections to brokers.
const (
	realtimeMemory      share = 14
	topicMemory         share = 6
	publicationMemory   share = 4
	gatewayMemory       share = 6
	realtimeDescriptors share = 12
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
func ForClients(limits *settings.Limits, log Log) Listeners {
	return Listeners{
		Clients:   newShare(limits, clientMemory, clientDescriptors).logging("clients", log),
		Internal:  newShare(limits, internalMemory, internalDescriptors).logging("internal", log),
		Readiness: newShare(limits, readinessMemory, readinessDescriptors).logging("readiness", log),
	}
}

// Gateway holds the budgets of a gateway.
type Gateway struct {
	Listeners
	Topics       *Budget // topics that are followed, and their cached messages
	Publications *Budget // messages of clients that no broker has stored yet
}

// ForGateway returns the budgets of a gateway.
func ForGateway(limits *settings.Limits, log Log) Gateway {
	return Gateway{
		Listeners: Listeners{
			Clients:   newShare(limits, realtimeMemory, realtimeDescriptors).logging("clients", log),
			Internal:  newShare(limits, gatewayMemory, internalDescriptors).logging("internal", log),
			Readiness: newShare(limits, readinessMemory, readinessDescriptors).logging("readiness", log),
		},
		Topics:       newShare(limits, topicMemory, 0).logging("topics", log),
		Publications: newShare(limits, publicationMemory, 0).logging("publications", log),
	}
}

// Concurrent calls of a gateway to one broker on behalf of its clients.
const (
	defaultCallsPerBroker = 64
	// callsPerBrokerDivisor leaves descriptors for the calls to all brokers of a fleet.
	callsPerBrokerDivisor = 48
)

// CallsPerBroker returns how many calls to one broker may be in flight on behalf of the
// clients of a gateway.
func CallsPerBroker(limits *settings.Limits) int {
	if limits.MaxFds <= 0 {
		return defaultCallsPerBroker
	}
	return max(1, (int(limits.MaxFds)-reservedDescriptors)/callsPerBrokerDivisor)
}

// ForStore returns the budget of a process that serves only other processes of the system.
func ForStore(limits *settings.Limits, log Log) *Budget {
	return newShare(limits, storeMemory, storeDescriptors).logging("internal", log)
}

// newShare returns a budget of parts of limits.memory-mb and limits.max-fds. A limit that
// is not set is no bound.
func newShare(limits *settings.Limits, memory, descriptors share) *Budget {
	bytes := int(limits.MemoryMb<<20) / peerMemoryDivisor * int(memory) / int(wholeShare)
	connections := 0
	if limits.MaxFds > 0 && descriptors > 0 {
		usable := max(0, int(limits.MaxFds)-reservedDescriptors)
		connections = max(1, usable*int(descriptors)/int(wholeShare))
	}
	return New(bytes, connections)
}

func (b *Budget) logging(listener string, log Log) *Budget {
	b.pressure.listener, b.pressure.log = listener, log
	return b
}
