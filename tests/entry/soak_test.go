package entry_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/modules/wire/caller/v1/callerv1connect"
	"github.com/crocusline/crocusline/services/refusalwire"
	"github.com/crocusline/crocusline/standin/cluster"
	"github.com/crocusline/crocusline/standin/crowd"
	"github.com/crocusline/crocusline/standin/service"
)

var (
	seedCount  = flag.Int("seeds", 2, "number of seeds to run")
	firstSeed  = flag.Uint64("from", 1, "first seed")
	soakLength = flag.Duration("length", 4*time.Second, "duration of the crowds of each seed")
)

const (
	// crowdShare is the share of a crowd's callers that come at once in a soak, in which crowds overlap.
	crowdShare = 3
	// maxPause is the longest time between two events of a soak, and sampleInterval that between two samples of memory.
	maxPause       = 500 * time.Millisecond
	sampleInterval = 50 * time.Millisecond
	// ordinaryCallers send small bookings, each once.
	ordinaryCallers = 4
	// settleTime is how long calls may run on that an entry has lost.
	settleTime = 2 * time.Second
)

// booked is what ordinary callers were told about their bookings, by key.
type booked struct {
	mu       sync.Mutex
	served   []string
	notRun   []string
	outcomes int
}

// TestEntryCrowdSeeds runs an entry while crowds, restarts of it and pauses of a sidecar and the platform come in series and
// overlap, by seeds. It guards against an entry that takes more memory than its settings allow or doesn't serve afterwards,
// and against ordinary bookings that run twice, or run although the caller was told that they don't.
func TestEntryCrowdSeeds(t *testing.T) {
	for i := range uint64(*seedCount) {
		t.Run(fmt.Sprintf("seed-%d", *firstSeed+i), func(t *testing.T) { runSeed(t, *firstSeed+i) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	f := newFleet(t, false)
	f.requireService(t, "before the crowds")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var b booked
	var ordinary sync.WaitGroup
	for i := range ordinaryCallers {
		ordinary.Go(func() { b.call(ctx, f, fmt.Sprintf("ordinary-%d", i)) })
	}
	peak := int64(0)
	ordinary.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(sampleInterval) {
			// A process that has just ended has no size.
			if size, err := crowd.Process(f.ID(entryName)).PeakBytes(); err == nil {
				peak = max(peak, size)
			}
		}
	})
	names := f.disturb(t, rand.New(rand.NewPCG(seed, 0)))
	time.Sleep(settleTime)
	cancel()
	ordinary.Wait()
	t.Logf("%d MB resident at most, %d ordinary calls, %d served, crowds: %s", peak>>20, b.outcomes, len(b.served), strings.Join(names, ", "))
	if peak > defaultMemory {
		t.Errorf("the entry took %d MB of memory, its settings allow %d MB", peak>>20, defaultMemory>>20)
	}
	f.requireService(t, "after the crowds")
	b.check(t, f)
}

// disturb sends crowds, restarts the entry and pauses other processes, and returns the crowds' names.
func (f *fleet) disturb(t *testing.T, r *rand.Rand) []string {
	t.Helper()
	address := netip.MustParseAddrPort(strings.TrimPrefix(f.URL(entryName), "http://"))
	all := slices.Concat(entryCrowds, answerCrowds)
	paused := []string{"platform", cluster.SidecarName("booking-1"), cluster.SidecarName("model-1")}
	var crowds sync.WaitGroup
	var names []string
	for end := time.Now().Add(*soakLength); time.Now().Before(end); {
		switch r.IntN(8) {
		case 0:
			f.restartEntry(t)
		case 1:
			name := paused[r.IntN(len(paused))]
			if err := f.Pause(name); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Duration(r.Int64N(int64(maxPause))))
			if err := f.Resume(name); err != nil {
				t.Fatal(err)
			}
		default:
			c := all[r.IntN(len(all))]
			c.Callers /= crowdShare
			names = append(names, c.Name)
			crowds.Go(func() { c.Run(address) })
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxPause))))
	}
	crowds.Wait()
	return names
}

// call sends bookings one after the other over a connection that stays open, until the context ends.
func (b *booked) call(ctx context.Context, f *fleet, name string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	caller := callerv1connect.NewRouterServiceClient(client, f.URL(entryName))
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("%s-%d", name, i)
		err := call(ctx, caller, &callerv1.SubmitRequest{Workspace: cluster.Workspace, Kind: "book", IdempotencyKey: key, Body: []byte("{}")})
		e, refused := refusalwire.Decode(err)
		b.mu.Lock()
		b.outcomes++
		switch {
		case err == nil:
			b.served = append(b.served, key)
		case refused && e.Outcome == refusal.NotRun:
			b.notRun = append(b.notRun, key)
		}
		b.mu.Unlock()
		if err != nil {
			time.Sleep(retryInterval)
		}
	}
}

// check compares what callers were told with what the service ran.
func (b *booked) check(t *testing.T, f *fleet) {
	t.Helper()
	_, body, err := f.Get(t.Context(), f.URL("booking-1")+"/ran")
	if err != nil {
		t.Fatal(err)
	}
	var ran map[string]service.CallRecord
	if err := json.Unmarshal(body, &ran); err != nil {
		t.Fatal(err)
	}
	for key, record := range ran {
		if record.Count > 1 && strings.HasPrefix(key, "ordinary-") {
			t.Errorf("%s ran %d times", key, record.Count)
		}
	}
	for _, key := range b.served {
		if ran[key].Count != 1 {
			t.Errorf("%s was answered and ran %d times", key, ran[key].Count)
		}
	}
	for _, key := range b.notRun {
		if ran[key].Count != 0 {
			t.Errorf("%s ran although its caller was told that it did not", key)
		}
	}
}
