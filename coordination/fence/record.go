// Package fence gives exclusive, fenced use of a stream of a shared
// append-only log that offers no compare-and-swap.
//
// Writers wrap what they append into a Record. Every process folds the stream
// with a Reader, which decides by position alone which records count: it drops
// duplicates of retried appends, voids records of old epochs, and reports gaps.
// Since each reader decides alike, a writer that has read back its own record
// knows whether it counts, and no clock decides what is safe.
package fence

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

//go:generate stringer -type=Kind,Decision -linecomment -output=fence_string.go

// Kind says what a record carries.
type Kind int

// The kinds.
const (
	Entries    Kind = iota // entries
	Claim                  // claim
	Checkpoint             // checkpoint
)

// Record is the envelope of one append.
type Record struct {
	// Writer is the incarnation that wrote the record. A process that restarts
	// takes a new one.
	Writer string `json:"writer"`
	// Sequence numbers the records of one writer in one stream, from 1. A retry
	// of an append keeps its number.
	Sequence uint64 `json:"sequence"`
	// Epoch is the epoch in which the record is valid. 0 is valid in any epoch.
	// A claim names the epoch that it begins.
	Epoch uint64 `json:"epoch"`
	// Seen is the log time of the last record that the writer had read.
	Seen   time.Time `json:"seen"`
	Kind   Kind      `json:"kind"`
	Bodies [][]byte  `json:"bodies,omitempty"`
	// Chunk is set on checkpoints.
	Chunk *Chunk `json:"chunk,omitempty"`
}

// Chunk is one part of a checkpoint.
type Chunk struct {
	// Next is the offset of the first record that the checkpoint leaves out.
	Next int64 `json:"next"`
	// Index numbers the chunks of one checkpoint, from 0.
	Index int    `json:"index"`
	Count int    `json:"count"`
	Data  []byte `json:"data"`
}

// maxChunks bounds the chunks of one checkpoint.
const maxChunks = 1 << 16

var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the bytes to append.
func (r *Record) Encode() ([]byte, error) {
	data, err := encoding.Marshal(r)
	return data, errors.Wrap(err, "encode record")
}

// Decode reads a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	return r, r.validate()
}

func (r *Record) validate() error {
	if r.Writer == "" || r.Sequence == 0 {
		return errors.New("record without writer or sequence")
	}
	if r.Kind != Checkpoint {
		return nil
	}
	c := r.Chunk
	if c == nil || c.Next < 0 || c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return errors.New("checkpoint record without a valid chunk")
	}
	return nil
}
