package distribution

// Keys and key prefixes of the events that processes exchange.
const (
	KeyConfiguration = "configuration"
	KeyPlacement     = "placement"
	PrefixInstance   = "instance/" // followed by the instance ID of a handler
	PrefixNode       = "node/"     // followed by the name of a node
)

// Roles of nodes that the distribution distinguishes.
const (
	roleCore  = "core"
	roleEdge  = "edge"
	roleStore = "store"
)
