package distribution

// Keys of the events that processes exchange, and prefixes of those of which
// there are many.
const (
	KeyConfiguration = "configuration"
	KeyPlacement     = "placement"
	PrefixInstance   = "instance/" // and the identifier of a handler
	PrefixNode       = "node/"     // and the name of a process of the system
)

// Roles of nodes, as far as the distribution depends on them.
const (
	roleCore  = "core"
	roleEdge  = "edge"
	roleStore = "store"
)
