package setting

import "net/netip"

// Operator configures the listener for operators: status, /metrics, /healthz and
// /readyz.
type Operator struct {
	Listen netip.AddrPort `yaml:"listen" validate:"required"`
}
