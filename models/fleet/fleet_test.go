package fleet_test

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/modules/codec"
	_ "github.com/crocusline/crocusline/tests/fixedseed"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// publication returns a publication of one pool.
func publication(id, by string, base int64, servers ...string) fleet.Publish {
	return fleet.Publish{ID: id, By: by, Delta: table.Delta{
		Base:  base,
		Pools: map[string]table.Pool{"drafting": {Servers: servers}},
	}}
}

// apply applies the events in order and returns the last result.
func apply(t *testing.T, s *fleet.State, events ...fleet.Event) (*fleet.State, fleet.Result) {
	t.Helper()
	var result fleet.Result
	for _, e := range events {
		s, result = s.Apply(s.Next, start.Add(time.Duration(s.Next)*time.Second), e)
	}
	return s, result
}

func cause(t *testing.T, r fleet.Result) fleet.Cause {
	t.Helper()
	ignored, ok := r.(fleet.Ignored)
	if !ok {
		t.Fatalf("got %+v, want Ignored", r)
	}
	return ignored.Cause
}

func TestConcurrentPublicationsHaveOneWinner(t *testing.T) {
	s, _ := apply(t, fleet.New(), publication("p1", "ana", 0, "m1"))
	s, first := apply(t, s, publication("p2", "ben", 1, "m2"))
	s, second := apply(t, s, publication("p3", "cho", 1, "m3"))
	if first != (fleet.Applied{Version: 2}) {
		t.Fatalf("first got %+v", first)
	}
	ignored, ok := second.(fleet.Ignored)
	if !ok || ignored.Cause != fleet.BaseMoved || ignored.Winner.By != "ben" || ignored.Winner.Version != 2 {
		t.Fatalf("second got %+v", second)
	}
	if !s.Tables.HasServer("m2") || s.Tables.HasServer("m3") {
		t.Fatal("the tables are those of the ignored publication")
	}
}

func TestRepeatedPublicationHasNoEffect(t *testing.T) {
	p := publication("p1", "ana", 0, "m1")
	s, result := apply(t, fleet.New(), p, p)
	if cause(t, result) != fleet.Duplicate || s.Version() != 1 {
		t.Fatalf("got %+v at version %d", result, s.Version())
	}
}

func TestPlannedStopKeepsPublishedVersion(t *testing.T) {
	s, _ := apply(t, fleet.New(), publication("p1", "ana", 0, "m1", "m2"),
		fleet.PlanStop{ID: "s1", By: "ben", Server: "m1"})
	if s.Version() != 2 || !s.Tables.HasPlannedStop("m1") {
		t.Fatalf("tables %+v", s.Tables)
	}
	s, result := apply(t, s, publication("p2", "ana", 1, "m1", "m3"))
	if result != (fleet.Applied{Version: 3}) || !s.Tables.HasPlannedStop("m1") {
		t.Fatalf("got %+v, tables %+v", result, s.Tables)
	}
	s, _ = apply(t, s, publication("p3", "ana", 3, "m3"))
	if s.Tables.HasPlannedStop("m1") {
		t.Fatal("a stop is still planned for a server without a pool")
	}
	_, result = apply(t, s, fleet.PlanStop{ID: "s2", Server: "nowhere"})
	if cause(t, result) != fleet.UnknownServer {
		t.Fatalf("got %+v", result)
	}
}

func member(incarnation, server string) fleet.Register {
	return fleet.Register{Member: fleet.Member{
		Incarnation: incarnation,
		Role:        fleet.Sidecar,
		Name:        server + "-sidecar",
		Server:      server,
		Address:     netip.MustParseAddrPort("127.0.0.1:7001"),
	}}
}

func TestReplacedIncarnationCannotRegisterAgain(t *testing.T) {
	s, _ := apply(t, fleet.New(), member("a/1", "m1"), member("a/2", "m1"))
	if m, ok := s.SidecarFor("m1"); !ok || m.Incarnation != "a/2" || !s.HasEnded("a/1") {
		t.Fatalf("members %+v", s.Members)
	}
	s, result := apply(t, s, member("a/1", "m1"))
	if cause(t, result) != fleet.Gone {
		t.Fatalf("got %+v", result)
	}
	s, _ = apply(t, s, fleet.Fence{Incarnation: "a/2"}, member("a/2", "m1"))
	if _, ok := s.SidecarFor("m1"); ok {
		t.Fatal("a fenced incarnation is a member")
	}
}

func TestFenceBeforeRegister(t *testing.T) {
	s, result := apply(t, fleet.New(), fleet.Fence{Incarnation: "a/1"}, member("a/1", "m1"))
	if cause(t, result) != fleet.Gone || len(s.Members) != 0 {
		t.Fatalf("got %+v, members %+v", result, s.Members)
	}
}

func TestOwnerHintNeedsHigherEpoch(t *testing.T) {
	s, _ := apply(t, fleet.New(),
		fleet.OwnerHint{Shard: 1, Owner: fleet.Owner{Incarnation: "e/2", Epoch: 2}},
		fleet.OwnerHint{Shard: 1, Owner: fleet.Owner{Incarnation: "e/1", Epoch: 1}})
	if s.Owners[1].Incarnation != "e/2" {
		t.Fatalf("owners %+v", s.Owners)
	}
}

// drawEvent draws an event. Its few names and IDs often conflict with those of
// earlier events.
func drawEvent(t *rapid.T) fleet.Event {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	id := fmt.Sprintf("id%d", rapid.IntRange(0, 12).Draw(t, "id"))
	base := rapid.Int64Range(0, 8).Draw(t, "base")
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0, 1:
		return publication(id, name.Draw(t, "by"), base, name.Draw(t, "server"))
	case 2:
		return fleet.PlanStop{ID: id, By: "op", Server: name.Draw(t, "server")}
	case 3:
		return fleet.EndStop{ID: id, By: "op", Server: name.Draw(t, "server")}
	case 4:
		return member(id, name.Draw(t, "server"))
	case 5:
		return fleet.Fence{Incarnation: id}
	default:
		return fleet.OwnerHint{Shard: int(base), Owner: fleet.Owner{Incarnation: id, Epoch: base}}
	}
}

func TestStateIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fleet.New()
		winners := map[int64]string{}
		for _, e := range rapid.SliceOfN(rapid.Custom(drawEvent), 1, 60).Draw(t, "events") {
			next, result := s.Apply(s.Next, start, e)
			if next.Version() < s.Version() || next.Tables.Published < s.Tables.Published {
				t.Fatalf("%+v changed the version from %d to %d", e, s.Version(), next.Version())
			}
			for incarnation := range s.Ended {
				if _, found := next.Members[incarnation]; found {
					t.Fatalf("ended incarnation %s is a member again after %+v", incarnation, e)
				}
			}
			if p, ok := e.(fleet.Publish); ok && result == (fleet.Applied{Version: next.Version()}) {
				if winner, found := winners[p.Delta.Base]; found {
					t.Fatalf("%s and %s both took effect on base %d", winner, p.ID, p.Delta.Base)
				}
				winners[p.Delta.Base] = p.ID
			}
			if again, _ := next.Apply(s.Next, start, e); again != next {
				t.Fatalf("%+v took effect twice at one offset", e)
			}
			s = next
		}
	})
}

func TestSnapshotAndRemainingEventsEqualReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 60).Draw(t, "events")
		snapshotAt := rapid.IntRange(0, len(events)).Draw(t, "snapshotAt")
		replayed, restored := fleet.New(), fleet.New()
		for i, e := range events {
			if i == snapshotAt {
				data, err := restored.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if restored, err = fleet.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			data, err := fleet.EncodeEvent(e)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := fleet.DecodeEvent(data)
			if err != nil {
				t.Fatal(err)
			}
			replayed, _ = replayed.Apply(int64(i), start, e)
			restored, _ = restored.Apply(int64(i), start, decoded)
		}
		if !reflect.DeepEqual(replayed, restored) {
			t.Fatalf("replay\n%+v\nsnapshot and remaining events\n%+v", replayed, restored)
		}
	})
}

func FuzzDecodeEvent(f *testing.F) {
	for _, e := range []fleet.Event{publication("p", "ana", 3, "m1"), member("a/1", "m1"), fleet.Fence{Incarnation: "x"}} {
		data, err := fleet.EncodeEvent(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		event, err := fleet.DecodeEvent(data)
		if err != nil {
			return
		}
		s, _ := fleet.New().Apply(0, start, event)
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzRestore(f *testing.F) {
	s, _ := fleet.New().Apply(0, start, publication("p", "ana", 0, "m1"))
	data, err := s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		s, err := fleet.Restore(data)
		if err != nil {
			return
		}
		for _, e := range []fleet.Event{
			publication("q", "ben", s.Tables.Published, "m2"),
			fleet.PlanStop{ID: "r", Server: "m2"},
			member("a/1", "m1"),
			fleet.Fence{Incarnation: "a/1"},
			fleet.OwnerHint{Shard: 1, Owner: fleet.Owner{Epoch: 9}},
		} {
			s, _ = s.Apply(s.Next, start, e)
		}
	})
}

func TestRestoreAcceptsNullMaps(t *testing.T) {
	null := map[string]any{"members": nil, "ended": nil, "owners": nil, "tables": map[string]any{"stops": nil, "pools": nil}}
	data, err := codec.Marshal(null)
	if err != nil {
		t.Fatal(err)
	}
	s, err := fleet.Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	s, _ = apply(t, s, publication("p1", "ana", 0, "m1"), fleet.PlanStop{ID: "s1", Server: "m1"},
		fleet.Fence{Incarnation: "a/1"}, fleet.OwnerHint{Shard: 1, Owner: fleet.Owner{Epoch: 1}})
	if s.Version() != 2 || !s.HasEnded("a/1") || s.Owners[1].Epoch != 1 {
		t.Fatalf("state %+v", s)
	}
	if _, err := fleet.Restore([]byte{0xa1, 0x66, 't', 'a', 'b', 'l', 'e', 's', 0xf6}); err == nil {
		t.Fatal("a snapshot without tables is accepted")
	}
}
