package lineage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/record"
)

func origin(version string) lineage.Origin { return lineage.Origin{Pool: "models", Version: version} }

// TestIndex checks that an origin is known only if all entries of the stream agree.
func TestIndex(t *testing.T) {
	a, b := lineage.NewID("clinics", "a"), lineage.NewID("clinics", "b")
	x := lineage.NewIndex()
	x.Add(lineage.Entry{ID: a, Origin: origin("v1")})
	x.Add(lineage.Entry{ID: a, Origin: origin("v1")})
	if got, known := x.Find(a); !known || got != origin("v1") {
		t.Errorf("got %+v, %t", got, known)
	}
	if _, known := x.Find(b); known {
		t.Error("a stream without an entry has an origin")
	}
	x.Add(lineage.Entry{ID: a, Origin: origin("v2")})
	x.Add(lineage.Entry{ID: a, Origin: origin("v1")})
	if got, exists := x.Find(a); got.Known() || !exists {
		t.Errorf("got %+v of entries that contradict each other", got)
	}
	if lineage.NewID("a", "b") == lineage.NewID("ab", "") {
		t.Error("requests of two workspaces have the same id")
	}
}

// fakeStore keeps the newest record of each key. Writes may be executed late, and it may return to a
// copy.
type fakeStore struct {
	newest map[string]record.Record
	late   [][]record.Record
	copied map[string]record.Record
}

func (s *fakeStore) append(records []record.Record) {
	for _, r := range records {
		if r.Value == nil {
			delete(s.newest, r.Key)
			continue
		}
		s.newest[r.Key] = r
	}
}

func (s *fakeStore) index(t *testing.T) *lineage.Index {
	x := lineage.NewIndex()
	for _, r := range s.newest {
		entries, err := lineage.ParseRecord(r)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range entries {
			x.Add(e)
		}
	}
	return x
}

// TestStoreHasConfirmedStreams checks that the store has each confirmed stream with its version for its
// whole lifetime, while writes are refused, executed late or in another order, the store returns from
// copies, and processes are killed and followed by others.
func TestStoreHasConfirmedStreams(t *testing.T) {
	const (
		lifetime      = 24 * time.Second
		checkInterval = 25
	)
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 0))
		now := time.Unix(1_000_000, 0)
		store := &fakeStore{newest: map[string]record.Record{}}
		w := lineage.NewWriter("front-1")
		type stream struct {
			lineage.Entry
			generation int64
			until      time.Time
			confirmed  bool
		}
		var streams []*stream
		confirm := func(generation int64) {
			w.Confirm(generation)
			for _, s := range streams {
				s.confirmed = s.confirmed || s.generation <= generation
			}
		}
		most := 0
		for step := range 1200 {
			now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
			for range r.IntN(4) {
				e := lineage.Entry{ID: lineage.NewID("w", fmt.Sprint(seed, step, r.Uint64())), Origin: origin([]string{"v1", "v2"}[r.IntN(2)])}
				streams = append(streams, &stream{Entry: e, until: now.Add(lifetime), generation: w.Add(now, e, now.Add(lifetime))})
			}
			if len(store.late) > 0 && r.IntN(20) == 0 {
				i := r.IntN(len(store.late))
				store.append(store.late[i])
				store.late = append(store.late[:i], store.late[i+1:]...)
			}
			records, generation, err := w.Unwritten(now)
			if err != nil {
				t.Fatal(err)
			}
			switch n := r.IntN(20); {
			case len(records) == 0 || n == 0:
				// The store refuses the write.
			case n == 1:
				store.late = append(store.late, records)
				w.Unanswered(now)
			case n == 2:
				store.append(records)
				w.Unanswered(now)
			default:
				store.append(records)
				confirm(generation)
			}
			switch r.IntN(400) {
			case 0:
				// The store returns to a copy of this moment later.
				store.copied = map[string]record.Record{}
				for k, v := range store.newest {
					store.copied[k] = v
				}
			case 1:
				if store.copied != nil {
					store.newest, store.copied, store.late = store.copied, nil, nil
					w.Rewrite(now)
					records, generation, err := w.Unwritten(now)
					if err != nil {
						t.Fatal(err)
					}
					store.append(records)
					confirm(generation)
				}
			case 2:
				w = lineage.NewWriter("front-1")
				for k, v := range store.newest {
					entries, err := lineage.ParseRecord(v)
					if err != nil {
						t.Fatal(err)
					}
					w.Load(k, entries, now.Add(lifetime))
				}
				var known []*stream
				for _, s := range streams {
					if s.confirmed {
						s.generation = 0
						known = append(known, s)
					}
				}
				streams = known
				// A copy may lack what nobody knows any more, and writes of the ended process come
				// within seconds.
				store.copied, store.late = nil, nil
			}
			most = max(most, len(store.newest))
			if step%checkInterval != 0 {
				continue
			}
			live := streams[:0]
			x := store.index(t)
			for _, s := range streams {
				if now.After(s.until) {
					continue
				}
				live = append(live, s)
				if got, known := x.Find(s.ID); (s.confirmed && !known) || (known && got != s.Origin) {
					t.Fatalf("seed %d, step %d: the store has %+v, %t of a stream of %+v", seed, step, got, known, s.Origin)
				}
			}
			streams = live
		}
		// 24 s with 30 streams a second are 45 full records; slots of unanswered writes and of earlier
		// processes come on top.
		if most > 400 {
			t.Errorf("seed %d: %d records", seed, most)
		}
	}
}

// TestParseRecord checks that damaged records are an error and no origin.
func TestParseRecord(t *testing.T) {
	w := lineage.NewWriter("front-1")
	now := time.Unix(1_000_000, 0)
	w.Add(now, lineage.Entry{ID: lineage.NewID("w", "a"), Origin: origin("v1")}, now.Add(time.Minute))
	records, _, err := w.Unwritten(now)
	if err != nil || len(records) != 1 {
		t.Fatalf("got %d records, %v", len(records), err)
	}
	value := records[0].Value
	for n := range value {
		if entries, err := lineage.ParseRecord(record.Record{Value: value[:n]}); err == nil {
			t.Errorf("%d of %d bytes were decoded as %+v", n, len(value), entries)
		}
	}
	if entries, err := lineage.ParseRecord(record.Record{Value: value}); err != nil || len(entries) != 1 || entries[0].Origin != origin("v1") {
		t.Errorf("got %+v, %v", entries, err)
	}
}
