package strain

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Resource -linecomment -output=resource_string.go

// Resource is what a gateway is short of. Its String is the name in logs and metrics.
type Resource int

// The resources.
const (
	// None means that the gateway is short of nothing.
	None Resource = iota // none
	// Processor means that runnable goroutines wait for a processor.
	Processor // processor
	// Receive and Transmit mean that bytes wait for the network link in this direction.
	Receive  // receive
	Transmit // transmit
	// Descriptors means that most file descriptors are open.
	Descriptors // descriptors
	// Memory means that most of the memory limit is in use.
	Memory // memory
	// Network means that several servers can't be reached and none can.
	Network // network
)

// Resources returns all resources that a gateway can be short of.
func Resources() []Resource {
	return []Resource{Processor, Receive, Transmit, Descriptors, Memory, Network}
}
