package memory

const (
	// DefaultLimit is the memory limit of a process in bytes, if its settings have none.
	DefaultLimit = 128 << 20
	// DefaultDescriptors is the number of file descriptors of a process, if its settings have none. It is that of the
	// smallest machines.
	DefaultDescriptors = 3075
	// runtimeRatio is the Go runtime's memory limit as a share of the process's. The rest is for the
	// program's text, sockets and memory that the runtime has not returned to the system.
	runtimeRatio = 0.7
	// requestsRatio is the share that all requests in progress may hold, largeRatio that of large ones,
	// and responsesRatio that of responses. With 88 MB, a body of 4 MiB in chunks is served, and
	// large requests and responses together leave 5.5 MB for others.
	requestsRatio  = 5.0 / 16
	largeRatio     = 1.0 / 8
	responsesRatio = 1.0 / 8
	// connectionsRatio is the share of callers' connections. One of them holds at most, without a request, a
	// header that is not complete, its copy when the buffer grew last, and a goroutine: headerCopies times
	// the largest header.
	connectionsRatio = 3.0 / 16
	headerCopies     = 2
	// gatewayHeaderBytes is the largest header at a gateway.
	gatewayHeaderBytes = 16 << 10
	// tlsBytes is what TLS holds for a connection: a record that is not complete, its copy when the buffer grew
	// last, and the state of the handshake.
	tlsBytes = 48 << 10
	// connectionDescriptorRatio is the share of file descriptors for connections of callers. The rest
	// is for servers, the store, peers and files.
	connectionDescriptorRatio = 0.5
	// peerConnectionRatio is the number of peers' connections as a share of that of callers. Each peer
	// keeps at most two idle ones, and sends less in a header.
	peerConnectionRatio = 0.5
)

// Plan is the division of a process's memory limit, in bytes. The requests, the connections and what
// the process takes without them fit in the runtime's limit together, so that only garbage is
// collected more often when all shares are used up.
type Plan struct {
	// Runtime is the Go runtime's memory limit.
	Runtime int64
	// Total is what all requests in progress may hold, with their responses, Large what large
	// requests may hold of it, and Responses what responses may hold of it.
	Total     int64
	Large     int64
	Responses int64
	// Connections is what connections of callers may hold.
	Connections int64
}

// NewPlan divides the memory limit of a process.
func NewPlan(limit int64) Plan {
	share := func(ratio float64) int64 { return int64(float64(limit) * ratio) }
	return Plan{
		Runtime: share(runtimeRatio), Total: share(requestsRatio), Large: share(largeRatio), Responses: share(responsesRatio),
		Connections: share(connectionsRatio),
	}
}

// ConnectionBytes returns what a connection holds at most without a request, by the size of the largest header, with
// TLS or without.
func ConnectionBytes(headerBytes int, overTLS bool) int64 {
	bytes := int64(headerCopies * headerBytes)
	if overTLS {
		bytes += tlsBytes
	}
	return bytes
}

// MaxConnections returns how many connections callers may have open at a gateway with this number of
// file descriptors, 0 if that is unknown.
func (p Plan) MaxConnections(descriptors int) int {
	return p.MaxConnectionsOf(ConnectionBytes(gatewayHeaderBytes, false), descriptors)
}

// MaxConnectionsOf returns the same for connections that hold the number of bytes each.
func (p Plan) MaxConnectionsOf(bytes int64, descriptors int) int {
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	return min(int(p.Connections/bytes), int(float64(descriptors)*connectionDescriptorRatio))
}

// MaxPeerConnections returns the same for other gateways.
func (p Plan) MaxPeerConnections(descriptors int) int {
	return int(float64(p.MaxConnections(descriptors)) * peerConnectionRatio)
}
