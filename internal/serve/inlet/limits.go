package inlet

// Limits bound what all callers' connections together may occupy.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// Headers and Bodies are the largest numbers of bytes that request headers and bodies take in memory.
	Headers, Bodies int64
}

const (
	// DefaultMemory and DefaultDescriptors stand for limits of the process that are not known.
	DefaultMemory      = 256 << 20
	DefaultDescriptors = 4096
	// connectionShare, headerShare and bodyShare are the shares of the process's memory for connections, request headers and
	// request bodies. The rest is for the leader's state, peers, the store and the runtime.
	connectionShare = 0.2
	headerShare     = 0.1
	bodyShare       = 0.125
	// descriptorShare is the share of the descriptors for callers. A leader needs one or more for each worker.
	descriptorShare = 0.25
	// receiveBuffer is the size of a connection's receive buffer in bytes. The kernel doubles it for its own use.
	receiveBuffer = 16 << 10
	// connectionMemory is what a connection takes in bytes without a header and a body: its receive buffer and that of a
	// further one that has not been accepted yet, its goroutine and its buffers in the HTTP server.
	connectionMemory = 3*receiveBuffer + 48<<10
	// headerFactor is how many bytes a byte of a header takes at most: many short fields become a map.
	headerFactor = 16
	// minConnections, minHeaders and minBodies keep a small process usable.
	minConnections = 16
	minHeaders     = 1 << 20
	minBodies      = 1 << 20
)

// LimitsFor returns the limits of a process that may use a number of bytes of memory and a number of descriptors; 0 stands
// for a number that is not known.
func LimitsFor(memory, descriptors int64) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	byMemory := int64(connectionShare * float64(memory) / connectionMemory)
	byDescriptors := int64(descriptorShare * float64(descriptors))
	return Limits{Connections: int(max(min(byMemory, byDescriptors), minConnections)),
		Headers: max(int64(headerShare*float64(memory)), minHeaders), Bodies: max(int64(bodyShare*float64(memory)), minBodies)}
}

// WithConnections returns the limits with another number of connections, unless that is 0.
func (l Limits) WithConnections(n int) Limits {
	if n > 0 {
		l.Connections = n
	}
	return l
}

// WithBodies returns the limits with another number of bytes of bodies, unless that is 0.
func (l Limits) WithBodies(n int64) Limits {
	if n > 0 {
		l.Bodies = n
	}
	return l
}
