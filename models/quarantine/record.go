package quarantine

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Observation is a record of what one gateway observed: a server that crashed, or segments that
// were answered.
type Observation struct {
	// At is the time of day of the writer, in ms since 1970.
	At int64 `cbor:"1,keyasint"`
	// Server identifies the start of the server that crashed.
	Server string `cbor:"2,keyasint,omitempty"`
	// Segments are those of the prompts that the server was about to answer or, without a
	// server, those that were answered.
	Segments []string `cbor:"3,keyasint"`
}

// ParseObservation decodes an observation.
func ParseObservation(data []byte) (Observation, error) {
	var o Observation
	err := cbor.Unmarshal(data, &o)
	return o, errors.Wrap(err, "decode observation")
}

// Encode encodes the observation for the store.
func (o Observation) Encode() ([]byte, error) {
	data, err := cbor.Marshal(o)
	return data, errors.Wrap(err, "encode observation")
}

// entryPrefix begins the keys of entries. It can't begin the name of an instance.
const entryPrefix = "\x1fquarantine/"

// IsEntryKey reports whether the record with the key is an entry.
func IsEntryKey(key string) bool { return strings.HasPrefix(key, entryPrefix) }

// Key returns the key of the entry's record, whose length is bounded by the store.
func (e Entry) Key() string {
	return entryPrefix + strconv.FormatUint(xxhash.Sum64String(strings.Join(e.Segments, ",")), 16)
}

// entryRecord is the encoded form of an Entry.
type entryRecord struct {
	Segments []string `cbor:"1,keyasint"`
	// Until is in ms since 1970.
	Until int64 `cbor:"2,keyasint"`
}

// ParseEntry decodes an entry.
func ParseEntry(data []byte) (Entry, error) {
	var r entryRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Entry{}, errors.Wrap(err, "decode quarantine")
	}
	if len(r.Segments) == 0 {
		return Entry{}, errors.New("decode quarantine: no segments")
	}
	return Entry{Segments: r.Segments, Until: time.UnixMilli(r.Until)}, nil
}

// Encode encodes the entry for the store.
func (e Entry) Encode() ([]byte, error) {
	data, err := cbor.Marshal(entryRecord{Segments: e.Segments, Until: e.Until.UnixMilli()})
	return data, errors.Wrap(err, "encode quarantine")
}
