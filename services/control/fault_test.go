package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/services/control"
	simulated "github.com/crocusline/crocusline/standin/control"
	"github.com/crocusline/crocusline/standin/platform"
)

const (
	faultSeeds  = 40
	faultRounds = 25
	processes   = 5
)

// world is a fleet under faults drawn from a seed.
type world struct {
	t       *testing.T
	random  *rand.Rand
	store   *platform.Store
	peers   *directory
	running []*watched
	starts  int
	// applied counts by base who was told that its publication took effect.
	applied map[int64][]string
	// expected is the version that the last successful publication returned.
	expected int64
}

func TestPublicationsUnderFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{
					t:       t,
					random:  rand.New(rand.NewPCG(seed, 7)),
					store:   platform.New(platform.WithSeed(seed)),
					peers:   &directory{known: neighbours{}},
					applied: map[int64][]string{},
				}
				w.play()
			})
		})
	}
}

func (w *world) play() {
	for range processes {
		w.startOne()
	}
	for range faultRounds {
		w.store.SetFaults(w.draw())
		w.race()
		if w.random.IntN(4) == 0 {
			w.replaceOne()
		}
		time.Sleep(time.Duration(w.random.IntN(20)) * time.Second)
	}
	w.store.SetFaults(platform.Faults{RetainRecords: retained})
	time.Sleep(inForceBound)
	w.checkEnd()
	for _, s := range w.running {
		w.close(s)
	}
}

// retained is how many records the log keeps. Checkpoints come more often.
const retained = 50

// draw returns faults, alone or in pairs.
func (w *world) draw() platform.Faults {
	f := platform.Faults{RetainRecords: retained}
	for range 1 + w.random.IntN(2) {
		switch w.random.IntN(6) {
		case 0:
			f.Outage = true
		case 1:
			f.Cut = append(f.Cut, w.any().Member().Name)
		case 2:
			f.LoseAnswerShare = 0.5
		case 3:
			f.Slowness = simulated.Duration(time.Duration(w.random.IntN(1500)) * time.Millisecond)
		case 4:
			f.Hang = true
			f.Cut = append(f.Cut, w.any().Member().Name)
		case 5:
			f.AppendsPerSecond = 5
		}
	}
	return f
}

func (w *world) any() *watched { return w.running[w.random.IntN(len(w.running))] }

func (w *world) startOne() {
	w.starts++
	m := member(fmt.Sprint("p", w.starts))
	source := w.peers
	s := &watched{Service: control.New(hclog.NewNullLogger(), w.store.As(m.Incarnation), m,
		control.WithSchedule(fence.Schedule{Records: 8, Interval: time.Minute}),
		control.WithPeers(source))}
	s.Subscribe(s.record)
	if err := s.Start(context.Background(), nil); err != nil {
		w.t.Fatal(err)
	}
	w.running = append(w.running, s)
	w.peers.put(m.Address, s)
}

// replaceOne ends a process and starts another, which has a new name.
func (w *world) replaceOne() {
	i := w.random.IntN(len(w.running))
	gone := w.running[i]
	w.running = slices.Delete(w.running, i, i+1)
	w.peers.remove(gone.Member().Address)
	w.close(gone)
	w.startOne()
}

func (w *world) close(s *watched) {
	if err := s.Close(); err != nil {
		w.t.Error(err)
	}
	s.checkForward(w.t)
}

// told is what one racing publisher was told.
type told struct {
	by     string
	base   int64
	result fleet.Result
}

// race lets two processes publish at once, each on the version that it has.
func (w *world) race() {
	answers := make(chan told, 2)
	for i := range 2 {
		s := w.any()
		by := fmt.Sprint(s.Member().Name, "-", i, "-", w.random.Uint32())
		base := s.State().Tables.Published
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			result, _ := s.Publish(ctx, publication(by, by, base, "clinics"))
			answers <- told{by: by, base: base, result: result}
		}()
	}
	for range 2 {
		a := <-answers
		if applied, ok := a.result.(fleet.Applied); ok {
			w.applied[a.base] = append(w.applied[a.base], a.by)
			w.expected = max(w.expected, applied.Version)
		}
	}
}

func (w *world) checkEnd() {
	w.t.Logf("%d accepted publications, %d processes started", len(w.applied), w.starts)
	for base, winners := range w.applied {
		if len(winners) != 1 {
			w.t.Errorf("base %d has the winners %v", base, winners)
		}
	}
	version := w.running[0].Version()
	for _, s := range w.running {
		if s.Version() != version || s.Version() < w.expected {
			w.t.Errorf("%s has version %d, others %d, accepted %d", s.Member().Name, s.Version(), version, w.expected)
		}
	}
	for _, winners := range w.applied {
		if _, known := w.running[0].State().Published(winners[0]); !known {
			w.t.Errorf("the accepted publication %s is gone", winners[0])
		}
	}
}
