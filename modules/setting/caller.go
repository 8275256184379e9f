package setting

import (
	"net/netip"
	"time"
)

// Caller says how an entry serves callers.
type Caller struct {
	Listen netip.AddrPort `yaml:"listen"`
	// CertFile and KeyFile turn on TLS towards callers.
	CertFile string `yaml:"certFile" validate:"required_with=KeyFile"`
	KeyFile  string `yaml:"keyFile" validate:"required_with=CertFile"`
	// BodyBytes is the largest request body.
	BodyBytes int `yaml:"bodyBytes" validate:"gt=0"`
	// HeaderBytes is the largest request header.
	HeaderBytes int `yaml:"headerBytes" validate:"gt=0"`
	// StreamsPerWorkspace is how many requests of one workspace run at once at
	// this entry.
	StreamsPerWorkspace int `yaml:"streamsPerWorkspace" validate:"gt=0"`
	// WriteTimeout is how long a caller may take to read one part of an answer.
	WriteTimeout time.Duration `yaml:"writeTimeout" validate:"gt=0"`
	// DrainTimeout is how long requests may go on once the process is told to end.
	DrainTimeout time.Duration `yaml:"drainTimeout" validate:"gt=0"`
}

func defaultCaller() Caller {
	return Caller{
		BodyBytes:           1 << 20,
		HeaderBytes:         16 << 10,
		StreamsPerWorkspace: 256,
		WriteTimeout:        10 * time.Second,
		DrainTimeout:        30 * time.Second,
	}
}
