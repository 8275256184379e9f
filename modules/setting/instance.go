package setting

import "net/netip"

// Instance is the identity and the location of this instance.
type Instance struct {
	// Name is unique in the fleet.
	Name          string `yaml:"name" validate:"name"`
	Region        string `yaml:"region" validate:"name"`
	FailureDomain string `yaml:"failureDomain" validate:"name"`
	// PeerAddress is the UDP address at which other processes reach this one.
	PeerAddress netip.AddrPort `yaml:"peerAddress" validate:"required"`
	// MemoryBytes is the memory of the process. Entries divide it among connections and requests.
	MemoryBytes int64 `yaml:"memoryBytes" validate:"gt=0"`
	// Descriptors is the number of file descriptors that the process may open.
	Descriptors int `yaml:"descriptors" validate:"gt=0"`
}

func defaultInstance() Instance {
	return Instance{MemoryBytes: 128 << 20, Descriptors: 3075}
}
