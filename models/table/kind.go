package table

import "github.com/pkg/errors"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind says what stands behind a pool.
type Kind int

// The kinds.
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
