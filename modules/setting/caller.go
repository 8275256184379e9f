package setting

import (
	"net/netip"
	"time"
)

// Caller configures how an entry serves callers.
type Caller struct {
	Listen netip.AddrPort `yaml:"listen"`
	// CertFile and KeyFile enable TLS for callers.
	CertFile string `yaml:"certFile" validate:"required_with=KeyFile"`
	KeyFile  string `yaml:"keyFile" validate:"required_with=CertFile"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes int `yaml:"bodyBytes" validate:"gt=0"`
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int `yaml:"headerBytes" validate:"gt=0"`
	// BodyTimeout is how long a request body may take to arrive.
	BodyTimeout time.Duration `yaml:"bodyTimeout" validate:"gt=0"`
	// StreamsPerWorkspace is the maximum number of concurrent requests of one
	// workspace at this entry.
	StreamsPerWorkspace int `yaml:"streamsPerWorkspace" validate:"gt=0"`
	// WriteTimeout is the timeout of each write of a response to the caller.
	WriteTimeout time.Duration `yaml:"writeTimeout" validate:"gt=0"`
	// DrainTimeout is how long running requests may continue after the process has
	// received the termination signal.
	DrainTimeout time.Duration `yaml:"drainTimeout" validate:"gt=0"`
}

func defaultCaller() Caller {
	return Caller{
		BodyBytes:           1 << 20,
		HeaderBytes:         16 << 10,
		BodyTimeout:         5 * time.Second,
		StreamsPerWorkspace: 256,
		WriteTimeout:        10 * time.Second,
		DrainTimeout:        30 * time.Second,
	}
}
