// Package simulation runs the ledger's clients, the sidecars' record of runs
// and the streams in virtual time, under faults drawn by a seed, and checks
// what must always hold against what really ran.
package simulation

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusline/crocusline/models/ledger"
)

var (
	seeds = flag.Int("seeds", 200, "number of seeds to run")
	from  = flag.Uint64("from", 0, "first seed")
)

// tally sums what happened, so that a run that tests nothing is seen.
type tally struct {
	requests, answered, notRun, unknown, lost, old, written int
}

func TestSeeds(t *testing.T) {
	var sum tally
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		if simulate(t, seed, &sum); t.Failed() {
			t.Fatalf("seed %d failed: go test ./tests/simulation -run TestSeeds -args -from=%d -seeds=1", seed, seed)
		}
	}
	t.Logf("%d seeds: %+v", *seeds, sum)
	if *seeds >= 200 && (sum.answered == 0 || sum.notRun == 0 || sum.unknown == 0 || sum.old == 0) {
		t.Errorf("some kind of end never came: %+v", sum)
	}
}

// TestFoundSeeds runs the seeds that once failed.
func TestFoundSeeds(t *testing.T) {
	var sum tally
	for _, seed := range []uint64{
		1, 9, 14, // a grant of no tokens
		19, 175, // a return lost in an outage
		31,   // a grant under way while the client closed
		47,   // reserves recalled and refilled without end
		224,  // a relay cut while the request ran on
		3428, // replicas compared while a record was on its way
	} {
		if simulate(t, seed, &sum); t.Failed() {
			t.Fatalf("seed %d failed", seed)
		}
	}
}

// TestPausedEntryMeetsNewSidecars resumes an entry that was closed, while all the
// sidecars that fenced it were replaced.
func TestPausedEntryMeetsNewSidecars(t *testing.T) {
	var sum tally
	for seed := range uint64(5) {
		simulate(t, seed, &sum,
			event{kind: stallEntry, at: 3 * time.Second, length: 16 * time.Second},
			event{kind: killSidecar, at: 14 * time.Second, target: 0},
			event{kind: killSidecar, at: 14 * time.Second, target: 1},
			event{kind: killSidecar, at: 14 * time.Second, target: 2},
		)
	}
}

// TestDoubleLossLosesBills shows the harm that is left: an answer given while the
// log is away is not billed if its entry and its sidecar both die before the log
// answers again. Nothing else goes wrong.
func TestDoubleLossLosesBills(t *testing.T) {
	var sum tally
	faults := []event{{kind: outage, at: 4 * time.Second, length: 8 * time.Second}}
	for i := range 3 {
		faults = append(faults,
			event{kind: killEntry, at: 9 * time.Second, target: i},
			event{kind: killSidecar, at: 9 * time.Second, target: i})
	}
	simulate(t, 1, &sum, faults...)
	if sum.lost == 0 {
		t.Error("no bill was lost")
	}
	t.Logf("%+v", sum)
}

// simulate runs one seed, with the faults given or else those that it draws.
func simulate(t *testing.T, seed uint64, sum *tally, faults ...event) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, seed)
		if len(faults) == 0 {
			faults = w.faults()
		}
		w.tasks.Go(w.topUp)
		w.tasks.Go(w.drive)
		w.tasks.Go(w.supervise)
		for _, f := range faults {
			w.tasks.Go(func() { w.strike(f) })
		}
		sleep(w.ctx, faultsEnd+quiet)
		w.check(sum)
		w.stop()
		if t.Failed() {
			t.Logf("seed %d: %v", seed, faults)
		}
	})
}

// check checks everything at the end of a run.
func (w *world) check(sum *tally) {
	w.awaitQuiet()
	for i := range shards {
		state, err := newChecker().check(w.log, ledger.StreamName(i))
		if err != nil {
			w.t.Errorf("%s: %v", ledger.StreamName(i), err)
			return
		}
		w.checkReplicas(state)
	}
	w.closeEntries()
	bills := map[string]int{}
	for i := range shards {
		c := newChecker()
		if _, err := c.check(w.log, ledger.StreamName(i)); err != nil {
			w.t.Errorf("%s: %v", ledger.StreamName(i), err)
			return
		}
		for name, n := range c.bills {
			bills[name] += n
		}
		sum.old += c.old
		sum.written += c.written
		if c.malformed > 0 {
			w.t.Errorf("%d malformed grants", c.malformed)
		}
		w.checkReturned(c)
	}
	for _, r := range w.requests {
		w.checkRequest(r, bills, sum)
	}
}

// awaitQuiet waits until no record was appended for long enough for all to have
// read the last. Reserves shrink with time, so that there is always a next one.
func (w *world) awaitQuiet() {
	for range 100 {
		before := w.log.Appends()
		sleep(w.ctx, 200*time.Millisecond)
		if w.log.Appends() == before {
			return
		}
	}
	w.t.Error("appends without end")
}

// closeEntries has the living entries give back their allowances.
func (w *world) closeEntries() {
	for i := range entries {
		if err := w.entry(i).client.Close(); err != nil {
			w.t.Error(err)
		}
	}
	sleep(w.ctx, time.Second)
}

// checkReplicas compares the folds of the living processes.
func (w *world) checkReplicas(state *ledger.State) {
	for i := range entries {
		e := w.entry(i)
		for _, workspace := range state.Workspaces() {
			got, err := e.client.Budget(context.Background(), workspace)
			if err != nil || got != state.Budget(workspace) {
				w.t.Errorf("%s has %+v, the stream says %+v, error %v", e.incarnation, got, state.Budget(workspace), err)
			}
		}
	}
}

// checkReturned checks that nothing stays outstanding once all is quiet.
func (w *world) checkReturned(c *checker) {
	for workspace, a := range c.accounts {
		for holder, tokens := range a.granted {
			if tokens != 0 {
				w.t.Errorf("%d tokens of %s are still outstanding at %s", tokens, workspace, holder)
			}
		}
	}
}

// checkRequest compares what callers were told with what ran and was billed.
func (w *world) checkRequest(r *request, bills map[string]int, sum *tally) {
	sum.requests++
	names := []string{nameOf(r.workspace, r.key, "")}
	if r.key == "" {
		names = nil
		for i := range r.ids {
			names = append(names, nameOf(r.workspace, "", fmt.Sprintf("%s-%d", r.name, i+1)))
		}
	}
	billed, ran := 0, map[int64]int{}
	for _, name := range names {
		billed += bills[name]
		for attempt, n := range w.runs[name] {
			ran[attempt] += n
		}
	}
	var witness *reply
	allNotRun := len(r.replies) > 0
	for i, got := range r.replies {
		switch got.kind {
		case answered:
			witness = &r.replies[i]
			sum.answered++
		case notRun:
			sum.notRun++
			if got.attempt > 0 && ran[got.attempt] > 0 && !r.idempotent {
				w.t.Errorf("%s attempt %d was told not run, and ran", r.name, got.attempt)
			}
		case unknown:
			sum.unknown++
		case broken:
		}
		allNotRun = allNotRun && got.kind == notRun
	}
	w.checkCounts(r, ran, billed, allNotRun)
	if witness != nil && billed != 1 {
		if w.deaths(witness.witnesses) < 2 {
			w.t.Errorf("%s was answered by %v, and billed %d times", r.name, witness.witnesses, billed)
		}
		sum.lost++
	}
}

func (w *world) checkCounts(r *request, ran map[int64]int, billed int, allNotRun bool) {
	total := 0
	for _, n := range ran {
		total += n
	}
	if !r.idempotent && total > 1 {
		w.t.Errorf("%s ran %d times: %v", r.name, total, ran)
	}
	if billed > 1 {
		w.t.Errorf("%s was billed %d times", r.name, billed)
	}
	if allNotRun && (billed > 0 || total > 0) {
		w.t.Errorf("%s was told not run, ran %d times and was billed %d times", r.name, total, billed)
	}
}

// deaths counts the witnesses of an answer that died.
func (w *world) deaths(witnesses []string) int {
	dead := map[string]bool{}
	for _, name := range witnesses {
		if w.died[name] {
			dead[name] = true
		}
	}
	return len(dead)
}
