package setting

import (
	"net/netip"
	"time"
)

// Peer configures the communication with the other processes of the fleet.
type Peer struct {
	// Listen is the UDP address that the process listens on.
	Listen netip.AddrPort `yaml:"listen" validate:"required"`
	// CertFile, KeyFile and CAFile are PEM files. They are reloaded when they change.
	CertFile string `yaml:"certFile" validate:"required"`
	KeyFile  string `yaml:"keyFile" validate:"required"`
	CAFile   string `yaml:"caFile" validate:"required"`
	// IdleTimeout is the time without a packet from a peer after which its
	// connection is closed.
	IdleTimeout time.Duration `yaml:"idleTimeout" validate:"gt=0"`
	// DialTimeout is the timeout for establishing a connection.
	DialTimeout time.Duration `yaml:"dialTimeout" validate:"gt=0"`
	// Seeds are the peers from which a new process requests the tables if the
	// platform is unreachable.
	Seeds []netip.AddrPort `yaml:"seeds" validate:"dive,required"`
}

func defaultPeer() Peer {
	return Peer{
		IdleTimeout: 6 * time.Second,
		DialTimeout: time.Second,
	}
}
