// Package fence provides exclusive ownership with fencing of a stream in a shared
// append-only log without compare-and-swap.
//
// Writers append Records. Every process applies the records of the stream to a
// Reader, which accepts or rejects each one. It rejects duplicates of retried
// appends and records of old epochs, and reports gaps. The decision depends only on
// the preceding records and their log times, so that all readers decide alike. Once
// a writer has read back its own record, the decision about it is therefore final,
// and safety does not depend on the clocks of the processes.
package fence

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

//go:generate stringer -type=Kind,Decision -linecomment -output=fence_string.go

// Kind is the kind of a record.
type Kind int

// Values of Kind. Entries records carry the application's data, a Claim record starts
// an epoch, and a Checkpoint record carries one chunk of a checkpoint.
const (
	Entries    Kind = iota // entries
	Claim                  // claim
	Checkpoint             // checkpoint
)

// Record is one record of the stream.
type Record struct {
	// Writer is the incarnation that appended the record. It changes when a process
	// restarts.
	Writer string `json:"writer"`
	// Sequence numbers the records of one writer in one stream, from 1. A retry
	// of an append keeps its number.
	Sequence uint64 `json:"sequence"`
	// Epoch is the epoch in which the record is valid. A record with epoch 0 is valid
	// in any epoch. For a claim, it is the epoch that the claim starts.
	Epoch uint64 `json:"epoch"`
	// Seen is the log time of the last record that the writer had read before it
	// created this one.
	Seen   time.Time `json:"seen"`
	Kind   Kind      `json:"kind"`
	Bodies [][]byte  `json:"bodies,omitempty"`
	// Chunk is only set for the kind Checkpoint.
	Chunk *Chunk `json:"chunk,omitempty"`
}

// Chunk is one part of a checkpoint.
type Chunk struct {
	// Next is the offset of the first record that the checkpoint does not include.
	Next int64 `json:"next"`
	// Index numbers the chunks of one checkpoint, from 0.
	Index int `json:"index"`
	// Count is the number of chunks of the checkpoint.
	Count int    `json:"count"`
	Data  []byte `json:"data"`
}

// maxChunks is the maximum number of chunks of one checkpoint.
const maxChunks = 1 << 16

// encoding is deterministic, so that equal states have equal encodings.
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

// Encode encodes the record as CBOR.
func (r *Record) Encode() ([]byte, error) {
	data, err := encoding.Marshal(r)
	return data, errors.Wrap(err, "encode record")
}

// Decode decodes and validates a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	return r, r.validate()
}

func (r *Record) validate() error {
	if r.Writer == "" || r.Sequence == 0 {
		return errors.New("record has no writer or no sequence number")
	}
	if r.Kind != Checkpoint {
		return nil
	}
	c := r.Chunk
	if c == nil || c.Next < 0 || c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return errors.New("checkpoint record has no valid chunk")
	}
	return nil
}
