package fence

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// DefaultChunkSize is the default maximum size of a checkpoint's chunk in bytes.
const DefaultChunkSize = 128 << 10

// SplitCheckpoint divides a checkpoint into chunks of at most size bytes. The
// checkpoint includes the records before the offset next.
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

// checkpoint is the encoding of a complete checkpoint.
type checkpoint struct {
	Reader []byte `json:"reader"`
	State  []byte `json:"state"`
}

// EncodeCheckpoint encodes a checkpoint of the reader and of the application's state
// at the same offset.
func EncodeCheckpoint(r *Reader, state []byte) ([]byte, error) {
	reader, err := r.Snapshot()
	if err != nil {
		return nil, err
	}
	data, err := encoding.Marshal(checkpoint{Reader: reader, State: state})
	return data, errors.Wrap(err, "encode checkpoint")
}

// RestoreCheckpoint sets the reader to the state in a checkpoint and returns the
// application's state.
func (r *Reader) RestoreCheckpoint(data []byte) ([]byte, error) {
	var c checkpoint
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode checkpoint")
	}
	return c.State, r.Restore(c.Reader)
}

// NoCheckpointError reports that the log has deleted records and has no complete
// checkpoint that includes them.
type NoCheckpointError struct {
	// Oldest is the oldest offset in the log.
	Oldest int64
}

// Error implements error.
func (e *NoCheckpointError) Error() string {
	return fmt.Sprintf("log has deleted the records before offset %d and has no checkpoint of them", e.Oldest)
}

// CheckpointScanner finds the newest complete checkpoint in the log.
type CheckpointScanner struct {
	oldest int64
	// partial is each writer's incomplete checkpoint.
	partial    map[string]*partialCheckpoint
	newest     []byte
	newestNext int64
}

// partialCheckpoint is a checkpoint of which some chunks have not been read.
type partialCheckpoint struct {
	next   int64
	count  int
	chunks [][]byte
}

// NewCheckpointScanner returns a scanner of a log whose oldest record is at the offset
// oldest.
func NewCheckpointScanner(oldest int64) *CheckpointScanner {
	return &CheckpointScanner{oldest: oldest, partial: map[string]*partialCheckpoint{}}
}

// Add reads the next record. Records that are not chunks of a checkpoint are ignored.
func (s *CheckpointScanner) Add(data []byte) {
	r, err := Decode(data)
	if err != nil || r.Kind != Checkpoint || r.Chunk.Next < s.oldest {
		return
	}
	c := r.Chunk
	p := s.partial[r.Writer]
	if c.Index == 0 && (p == nil || p.next != c.Next) {
		p = &partialCheckpoint{next: c.Next, count: c.Count}
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
	if s.newest == nil || p.next >= s.newestNext {
		s.newest = slices.Concat(p.chunks...)
		s.newestNext = p.next
	}
}

// Newest returns the newest complete checkpoint. If there is none, a reader may start
// with an empty state only if the log still contains offset 0; otherwise the error is
// a *NoCheckpointError.
func (s *CheckpointScanner) Newest() (data []byte, found bool, err error) {
	if s.newest == nil && s.oldest > 0 {
		return nil, false, &NoCheckpointError{Oldest: s.oldest}
	}
	return s.newest, s.newest != nil, nil
}

// CheckpointSchedule determines when a checkpoint is due.
type CheckpointSchedule struct {
	// Records is the number of records after which a checkpoint is due.
	Records int64
	// Interval is the maximum log time between a record and the checkpoint that
	// includes it. It must be well below the log's retention, because a record that
	// no checkpoint includes must not be deleted.
	Interval time.Duration
}

// Due reports whether a checkpoint is due at the offset next and the log time now. The
// last checkpoint was at the offset checkpoint, and since is the log time of the first
// record after it.
func (s CheckpointSchedule) Due(next, checkpoint int64, since, now time.Time) bool {
	if next <= checkpoint {
		return false
	}
	return next-checkpoint >= s.Records || now.Sub(since) >= s.Interval
}

func sortActivity(activity []writerActivity) {
	slices.SortFunc(activity, func(a, b writerActivity) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.writer, b.writer)
	})
}
