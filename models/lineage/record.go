package lineage

import (
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/record"
)

// slotKey returns the key of the record of a slot.
func slotKey(instance string, slot int) string { return instance + "/" + strconv.Itoa(slot) }

// parseSlotKey returns the number of the slot whose record has the key, and whether it is one of the
// instance.
func parseSlotKey(instance, key string) (int, bool) {
	text, found := strings.CutPrefix(key, instance+"/")
	n, err := strconv.Atoi(text)
	return n, found && err == nil && n >= 0
}

// slotRecord is the encoded form of a slot.
type slotRecord struct {
	Origins []originRecord `cbor:"1,keyasint"`
	Streams []streamRecord `cbor:"2,keyasint"`
}

type originRecord struct {
	_       struct{} `cbor:",toarray"`
	Pool    string
	Version string
}

// streamRecord has the position of the stream's origin among those of the slot.
type streamRecord struct {
	_      struct{} `cbor:",toarray"`
	ID     []byte
	Origin int
}

// encodeSlot encodes the entries of a slot.
func encodeSlot(entries []Entry) ([]byte, error) {
	var origins []Origin
	var r slotRecord
	for _, e := range entries {
		i := slices.Index(origins, e.Origin)
		if i < 0 {
			i = len(origins)
			origins = append(origins, e.Origin)
			r.Origins = append(r.Origins, originRecord{Pool: e.Origin.Pool, Version: e.Origin.Version})
		}
		r.Streams = append(r.Streams, streamRecord{ID: e.ID[:], Origin: i})
	}
	data, err := cbor.Marshal(r)
	return data, errors.Wrap(err, "encode origins of streams")
}

// ParseRecord decodes the record of a slot. A record without a value has no entries.
func ParseRecord(r record.Record) ([]Entry, error) {
	if r.Value == nil {
		return nil, nil
	}
	var decoded slotRecord
	if err := cbor.Unmarshal(r.Value, &decoded); err != nil {
		return nil, errors.Wrapf(err, "decode origins of streams %q", r.Key)
	}
	entries := make([]Entry, 0, len(decoded.Streams))
	for _, s := range decoded.Streams {
		if len(s.ID) != len(ID{}) || s.Origin < 0 || s.Origin >= len(decoded.Origins) {
			return nil, errors.Errorf("decode origins of streams %q: an id of %d bytes with origin %d of %d", r.Key, len(s.ID), s.Origin, len(decoded.Origins))
		}
		o := decoded.Origins[s.Origin]
		entries = append(entries, Entry{ID: ID(s.ID), Origin: Origin{Pool: o.Pool, Version: o.Version}})
	}
	return entries, nil
}
