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

// faultTest runs a fleet under faults that are drawn from a seed.
type faultTest struct {
	t       *testing.T
	random  *rand.Rand
	store   *platform.Store
	peers   *localPeers
	running []*recordedService
	starts  int
	// applied are the publications with the result Applied, by base.
	applied map[int64][]string
	// expected is the highest version that a publication returned.
	expected int64
}

// TestPublicationsUnderFaults publishes from random services under random faults. At
// most one publication may be applied per base, and all services must arrive at the same
// version, whose history contains every applied publication.
func TestPublicationsUnderFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &faultTest{
					t:       t,
					random:  rand.New(rand.NewPCG(seed, 7)),
					store:   platform.New(platform.WithSeed(seed)),
					peers:   newLocalPeers(),
					applied: map[int64][]string{},
				}
				f.run()
			})
		})
	}
}

func (f *faultTest) run() {
	for range processes {
		f.startOne()
	}
	for range faultRounds {
		f.store.SetFaults(f.drawFaults())
		f.publishConcurrently()
		if f.random.IntN(4) == 0 {
			f.replaceService()
		}
		time.Sleep(time.Duration(f.random.IntN(20)) * time.Second)
	}
	f.store.SetFaults(platform.Faults{RetainRecords: retainedRecords})
	time.Sleep(propagationBound)
	f.checkFinalState()
	for _, s := range f.running {
		f.close(s)
	}
}

// retainedRecords is how many records the log retains. Checkpoints are written more
// often than that.
const retainedRecords = 50

// drawFaults returns one or two random faults.
func (f *faultTest) drawFaults() platform.Faults {
	faults := platform.Faults{RetainRecords: retainedRecords}
	for range 1 + f.random.IntN(2) {
		switch f.random.IntN(6) {
		case 0:
			faults.Outage = true
		case 1:
			faults.Cut = append(faults.Cut, f.randomService().Member().Name)
		case 2:
			faults.LoseAnswerShare = 0.5
		case 3:
			faults.Slowness = simulated.Duration(time.Duration(f.random.IntN(1500)) * time.Millisecond)
		case 4:
			faults.Hang = true
			faults.Cut = append(faults.Cut, f.randomService().Member().Name)
		case 5:
			faults.AppendsPerSecond = 5
		}
	}
	return faults
}

func (f *faultTest) randomService() *recordedService { return f.running[f.random.IntN(len(f.running))] }

func (f *faultTest) startOne() {
	f.starts++
	m := member(fmt.Sprint("p", f.starts))
	s := &recordedService{Service: control.New(hclog.NewNullLogger(), f.store.LogFor(m.Incarnation), m,
		control.WithSchedule(fence.CheckpointSchedule{Records: 8, Interval: time.Minute}),
		control.WithPeers(f.peers))}
	s.Subscribe(s.record)
	if err := s.Start(context.Background(), nil); err != nil {
		f.t.Fatal(err)
	}
	f.running = append(f.running, s)
	f.peers.add(s)
}

// replaceService closes a random service and starts one with a new name.
func (f *faultTest) replaceService() {
	i := f.random.IntN(len(f.running))
	old := f.running[i]
	f.running = slices.Delete(f.running, i, i+1)
	f.peers.remove(old)
	f.close(old)
	f.startOne()
}

func (f *faultTest) close(s *recordedService) {
	if err := s.Close(); err != nil {
		f.t.Error(err)
	}
	s.checkMonotonic(f.t)
}

// publishResult is the result of one publication.
type publishResult struct {
	by     string
	base   int64
	result fleet.Result
}

// publishConcurrently publishes at two services at once, each on its own version.
func (f *faultTest) publishConcurrently() {
	results := make(chan publishResult, 2)
	for i := range 2 {
		s := f.randomService()
		by := fmt.Sprint(s.Member().Name, "-", i, "-", f.random.Uint32())
		base := s.State().Tables.Published
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			result, _ := s.Publish(ctx, publication(by, by, base, "clinics"))
			results <- publishResult{by: by, base: base, result: result}
		}()
	}
	for range 2 {
		r := <-results
		if applied, ok := r.result.(fleet.Applied); ok {
			f.applied[r.base] = append(f.applied[r.base], r.by)
			f.expected = max(f.expected, applied.Version)
		}
	}
}

func (f *faultTest) checkFinalState() {
	f.t.Logf("%d applied publications, %d services started", len(f.applied), f.starts)
	for base, winners := range f.applied {
		if len(winners) != 1 {
			f.t.Errorf("publications %[2]v were all applied on base %[1]d", base, winners)
		}
	}
	version := f.running[0].Version()
	for _, s := range f.running {
		if s.Version() != version || s.Version() < f.expected {
			f.t.Errorf("%s has version %d, others %d, applied %d", s.Member().Name, s.Version(), version, f.expected)
		}
	}
	for _, winners := range f.applied {
		if _, known := f.running[0].State().FindPublication(winners[0]); !known {
			f.t.Errorf("applied publication %s is not in the history", winners[0])
		}
	}
}
