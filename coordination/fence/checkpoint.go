package fence

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// DefaultChunkSize is the most bytes of a checkpoint that one record carries.
const DefaultChunkSize = 128 << 10

// SplitCheckpoint cuts a checkpoint that leaves out the records from next on into the
// chunks of its records.
func SplitCheckpoint(next int64, data []byte, size int) []Chunk {
	parts := slices.Collect(slices.Chunk(data, size))
	if len(parts) == 0 {
		parts = [][]byte{nil}
	}
	chunks := make([]Chunk, len(parts))
	for i, part := range parts {
		chunks[i] = Chunk{Next: next, Index: i, Count: len(parts), Data: part}
	}
	return chunks
}

// checkpoint is what the chunks of a checkpoint hold together.
type checkpoint struct {
	Reader []byte `json:"reader"`
	State  []byte `json:"state"`
}

// EncodeCheckpoint joins the reader's snapshot with the one of the state that
// was folded along with it.
func EncodeCheckpoint(r *Reader, state []byte) ([]byte, error) {
	reader, err := r.Snapshot()
	if err != nil {
		return nil, err
	}
	data, err := encoding.Marshal(checkpoint{Reader: reader, State: state})
	return data, errors.Wrap(err, "encode checkpoint")
}

// RestoreCheckpoint sets the reader to a checkpoint and returns the folded
// state that belongs to it.
func (r *Reader) RestoreCheckpoint(data []byte) ([]byte, error) {
	var c checkpoint
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode checkpoint")
	}
	return c.State, r.Restore(c.Reader)
}

// NoCheckpointError says that records are gone and no whole checkpoint is kept
// in their place.
type NoCheckpointError struct {
	// Oldest is the oldest offset kept.
	Oldest int64
}

// Error implements error.
func (e *NoCheckpointError) Error() string {
	return fmt.Sprintf("records before %d are gone and no checkpoint replaces them", e.Oldest)
}

// CheckpointScanner looks for the newest whole checkpoint among the records kept.
type CheckpointScanner struct {
	oldest  int64
	partial map[string]*partial
	best    []byte
	next    int64
}

// partial is the checkpoint that one writer is writing.
type partial struct {
	next   int64
	count  int
	chunks [][]byte
}

// NewCheckpointScanner returns a scanner of the records from oldest on.
func NewCheckpointScanner(oldest int64) *CheckpointScanner {
	return &CheckpointScanner{oldest: oldest, partial: map[string]*partial{}}
}

// Add takes the next record kept.
func (s *CheckpointScanner) Add(data []byte) {
	r, err := Decode(data)
	if err != nil || r.Kind != Checkpoint || r.Chunk.Next < s.oldest {
		return
	}
	c := r.Chunk
	p := s.partial[r.Writer]
	if c.Index == 0 && (p == nil || p.next != c.Next) {
		p = &partial{next: c.Next, count: c.Count}
		s.partial[r.Writer] = p
	}
	if p == nil || p.next != c.Next || p.count != c.Count || c.Index != len(p.chunks) {
		return
	}
	p.chunks = append(p.chunks, c.Data)
	if len(p.chunks) < p.count {
		return
	}
	delete(s.partial, r.Writer)
	if s.best == nil || p.next >= s.next {
		s.best = slices.Concat(p.chunks...)
		s.next = p.next
	}
}

// Newest returns the newest whole checkpoint. Without one, a reader may start
// empty only if the stream is kept from offset 0 on.
func (s *CheckpointScanner) Newest() (data []byte, found bool, err error) {
	if s.best == nil && s.oldest > 0 {
		return nil, false, &NoCheckpointError{Oldest: s.oldest}
	}
	return s.best, s.best != nil, nil
}

// CheckpointSchedule decides when a checkpoint is due.
type CheckpointSchedule struct {
	// Records is the most records to be read again after a checkpoint.
	Records int64
	// Interval is the longest time by the log's clock between a record and the
	// checkpoint that covers it. It must be well below the log's retention.
	Interval time.Duration
}

// Due says whether a checkpoint is due at next, when the last one was at
// checkpoint and the first record after it was taken at the time since.
func (s CheckpointSchedule) Due(next, checkpoint int64, since, now time.Time) bool {
	if next <= checkpoint {
		return false
	}
	return next-checkpoint >= s.Records || now.Sub(since) >= s.Interval
}

func sortExpiries(e []expiry) {
	slices.SortFunc(e, func(a, b expiry) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.name, b.name)
	})
}
