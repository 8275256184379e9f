package table

import "github.com/pkg/errors"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of a pool's backend servers: inference engines or plain services.
type Kind int

// Kinds of pools.
const (
	Model Kind = iota // model
	Plain             // plain
)

// MarshalText implements encoding.TextMarshaler.
func (i Kind) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *Kind) UnmarshalText(text []byte) error {
	for k := Model; k <= Plain; k++ {
		if k.String() == string(text) {
			*i = k
			return nil
		}
	}
	return errors.Errorf("unknown kind %q: use model or plain", text)
}
