package setting

import "net/netip"

// Operator says where operators ask for status, /metrics, /healthz and /readyz.
type Operator struct {
	Listen netip.AddrPort `yaml:"listen" validate:"required"`
}
