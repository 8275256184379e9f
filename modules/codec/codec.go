// Package codec encodes the records in the platform's log as deterministic CBOR.
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits of decoding, as protection against corrupt records.
const (
	maxElements = 1 << 20
	maxNesting  = 16
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes v. Equal values have equal encodings.
func Marshal(v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	return data, errors.WithStack(err)
}

// Unmarshal decodes data into the value that v points to.
func Unmarshal(data []byte, v any) error {
	return errors.WithStack(decoder.Unmarshal(data, v))
}
