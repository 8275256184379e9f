package lineage

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/record"
)

const (
	// slotEntries is the number of streams in a record. A record is written again for each stream
	// that is added, so that large ones cost bytes, and small ones take more calls to read.
	slotEntries = 16
	// maxTombstones limits the records of expired slots that one write removes.
	maxTombstones = 4
	// lateWrites is longer than the time after which a write without an answer may still be
	// executed, which is some seconds.
	lateWrites = 30 * time.Second
)

// Writer decides which records a gateway writes. Streams are added to a slot until it is full, and a
// slot is used again once all its streams have expired. One write is under way at a time.
type Writer struct {
	instance string
	slots    map[int]*slot
	current  int
	// generation counts the changes, and written those that are in the store.
	generation, written int64
}

// slot is a record of the store.
type slot struct {
	entries []Entry
	// expiresAt is when the slot may be used again: no stream of it can be resumed then.
	expiresAt time.Time
	// changedAt is the generation of the last change, or 0 if there is nothing to write.
	changedAt int64
	// closed slots take no more entries.
	closed bool
	// removed slots have no record.
	removed bool
}

// NewWriter returns the writer of a gateway.
func NewWriter(instance string) *Writer {
	return &Writer{instance: instance, slots: map[int]*slot{}, current: -1}
}

// Load records that the store has a record with the key and the entries. If an earlier process of the
// instance wrote it, it is kept until the given time.
func (w *Writer) Load(key string, entries []Entry, until time.Time) {
	n, own := parseSlotKey(w.instance, key)
	if !own || w.slots[n] != nil {
		return
	}
	w.slots[n] = &slot{entries: entries, expiresAt: until, closed: true}
}

// Add adds an entry that is needed until the given time, and returns its generation.
func (w *Writer) Add(now time.Time, e Entry, until time.Time) int64 {
	s := w.slots[w.current]
	if s == nil || s.closed || len(s.entries) >= slotEntries {
		w.current = w.freeSlot(now)
		s = &slot{}
		w.slots[w.current] = s
	}
	w.generation++
	s.entries = append(s.entries, e)
	s.changedAt = w.generation
	if until.After(s.expiresAt) {
		s.expiresAt = until
	}
	return w.generation
}

// freeSlot returns the lowest number of a slot that has expired or isn't used.
func (w *Writer) freeSlot(now time.Time) int {
	n := 0
	for w.slots[n] != nil && !now.After(w.slots[n].expiresAt) {
		n++
	}
	return n
}

// Unwritten returns the records to be written, and the generation that the store has then. There are
// none if the store has all.
func (w *Writer) Unwritten(now time.Time) ([]record.Record, int64, error) {
	var records []record.Record
	for _, n := range slices.Sorted(maps.Keys(w.slots)) {
		s := w.slots[n]
		if s.changedAt <= w.written || now.After(s.expiresAt) {
			continue
		}
		data, err := encodeSlot(s.entries)
		if err != nil {
			return nil, 0, err
		}
		records = append(records, record.Record{Key: slotKey(w.instance, n), Value: data})
	}
	if len(records) > 0 {
		records = append(records, w.removeExpired(now)...)
	}
	return records, w.generation, nil
}

// removeExpired returns the tombstones of expired slots. They keep their numbers as long as a tombstone
// may be executed late.
func (w *Writer) removeExpired(now time.Time) []record.Record {
	var tombstones []record.Record
	for _, n := range slices.Sorted(maps.Keys(w.slots)) {
		s := w.slots[n]
		if s.removed || n == w.current || !now.After(s.expiresAt) {
			continue
		}
		*s = slot{closed: true, removed: true, expiresAt: now.Add(lateWrites)}
		tombstones = append(tombstones, record.Record{Key: slotKey(w.instance, n)})
		if len(tombstones) == maxTombstones {
			break
		}
	}
	return tombstones
}

// Confirm records that the store has the generation.
func (w *Writer) Confirm(generation int64) { w.written = max(w.written, generation) }

// Written returns the generation that the store has.
func (w *Writer) Written() int64 { return w.written }

// Unanswered records that a write had no answer and may be executed later, when it would replace newer
// records. What isn't confirmed is written to other slots, and the slots keep their numbers meanwhile.
func (w *Writer) Unanswered(now time.Time) {
	var unconfirmed []*slot
	for _, n := range slices.Sorted(maps.Keys(w.slots)) {
		if s := w.slots[n]; s.changedAt > w.written {
			unconfirmed = append(unconfirmed, s)
		}
	}
	for _, s := range unconfirmed {
		entries, until := s.entries, s.expiresAt
		*s = slot{closed: true, expiresAt: now.Add(lateWrites)}
		for _, e := range entries {
			w.Add(now, e, until)
		}
	}
}

// Rewrite makes all entries that haven't expired due again, as the store may have lost them.
func (w *Writer) Rewrite(now time.Time) {
	w.generation++
	for _, s := range w.slots {
		if len(s.entries) > 0 && now.Before(s.expiresAt) {
			s.changedAt = w.generation
		}
	}
}
