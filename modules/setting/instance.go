package setting

import "net/netip"

// Instance says which instance this is and where it stands.
type Instance struct {
	// Name is unique in the fleet.
	Name          string `yaml:"name" validate:"name"`
	Region        string `yaml:"region" validate:"name"`
	FailureDomain string `yaml:"failureDomain" validate:"name"`
	// PeerAddress is where other processes reach this one, over UDP.
	PeerAddress netip.AddrPort `yaml:"peerAddress" validate:"required"`
}
