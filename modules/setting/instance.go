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
}
