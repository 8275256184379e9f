package setting

import (
	"net/netip"
	"time"
)

// Peer says how this process speaks to the fleet's other processes.
type Peer struct {
	// Listen is the UDP address that the process listens on.
	Listen netip.AddrPort `yaml:"listen" validate:"required"`
	// CertFile, KeyFile and CAFile hold PEM. They are read again when they change.
	CertFile string `yaml:"certFile" validate:"required"`
	KeyFile  string `yaml:"keyFile" validate:"required"`
	CAFile   string `yaml:"caFile" validate:"required"`
	// IdleTimeout is how long a peer may be silent before its connection counts
	// as lost.
	IdleTimeout time.Duration `yaml:"idleTimeout" validate:"gt=0"`
	// DialTimeout is how long a new connection may take.
	DialTimeout time.Duration `yaml:"dialTimeout" validate:"gt=0"`
	// Seeds are peers that a new process asks for the tables while the platform
	// is away.
	Seeds []netip.AddrPort `yaml:"seeds" validate:"dive,required"`
}

func defaultPeer() Peer {
	return Peer{
		IdleTimeout: 6 * time.Second,
		DialTimeout: time.Second,
	}
}
