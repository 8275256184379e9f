package ledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

//go:generate stringer -type=entryType -trimprefix=type -output=entrytype_string.go

// entryType is the type tag of an encoded entry. The numbers are stored in logs
// and must never be reused.
type entryType int

const (
	typeTopUp entryType = iota + 1
	typeGrant
	typeReturn
	typeBill
	typeRegister
	typeOutcome
	typeVoid
	typeCloseHolder
)

type encodedEntry struct {
	Type entryType       `json:"type"`
	Body cbor.RawMessage `json:"body"`
}

// UnknownTypeError is returned for an encoded entry whose type this version does
// not support.
type UnknownTypeError struct {
	Type int
}

// Error implements error.
func (e *UnknownTypeError) Error() string {
	return fmt.Sprintf("unknown entry type %d", e.Type)
}

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxMapPairs: 1 << 24, MaxArrayElements: 1 << 24}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes a batch of entries as the body of one log record.
func Encode(entries ...Entry) ([]byte, error) {
	batch := make([]encodedEntry, 0, len(entries))
	for _, e := range entries {
		body, err := encoding.Marshal(e)
		if err != nil {
			return nil, errors.Wrap(err, "encode entry")
		}
		batch = append(batch, encodedEntry{Type: typeOf(e), Body: body})
	}
	data, err := encoding.Marshal(batch)
	return data, errors.Wrap(err, "encode entries")
}

// Decode decodes a batch of entries. If one of them is malformed, it returns an
// error and no entries.
func Decode(data []byte) ([]Entry, error) {
	var batch []encodedEntry
	if err := decoding.Unmarshal(data, &batch); err != nil {
		return nil, errors.Wrap(err, "decode entries")
	}
	entries := make([]Entry, 0, len(batch))
	for _, b := range batch {
		e, err := b.decode()
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// TypeName returns the name of an entry's type, as used in metrics and logs.
func TypeName(e Entry) string { return typeOf(e).String() }

func typeOf(e Entry) entryType {
	switch e.(type) {
	case TopUp:
		return typeTopUp
	case Grant:
		return typeGrant
	case Return:
		return typeReturn
	case Bill:
		return typeBill
	case Register:
		return typeRegister
	case Outcome:
		return typeOutcome
	case Void:
		return typeVoid
	case CloseHolder:
		return typeCloseHolder
	}
	return 0
}

func (b encodedEntry) decode() (Entry, error) {
	var err error
	switch b.Type {
	case typeTopUp:
		var e TopUp
		err = decoding.Unmarshal(b.Body, &e)
		return e, errors.Wrap(err, "decode entry")
	case typeGrant:
		var e Grant
		err = decoding.Unmarshal(b.Body, &e)
		return e, errors.Wrap(err, "decode entry")
	case typeReturn:
		var e Return
		err = decoding.Unmarshal(b.Body, &e)
		return e, errors.Wrap(err, "decode entry")
	case typeBill:
		var e Bill
		err = decoding.Unmarshal(b.Body, &e)
		return e, errors.Wrap(err, "decode entry")
	case typeRegister:
		var e Register
		err = decoding.Unmarshal(b.Body, &e)
		return e, errors.Wrap(err, "decode entry")
	case typeOutcome:
		var e Outcome
		err = decoding.Unmarshal(b.Body, &e)
		return e, errors.Wrap(err, "decode entry")
	case typeVoid:
		var e Void
		err = decoding.Unmarshal(b.Body, &e)
		return e, errors.Wrap(err, "decode entry")
	case typeCloseHolder:
		var e CloseHolder
		err = decoding.Unmarshal(b.Body, &e)
		return e, errors.Wrap(err, "decode entry")
	}
	return nil, &UnknownTypeError{Type: int(b.Type)}
}
