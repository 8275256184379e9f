package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/quarantine"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	tick = 20 * time.Millisecond
	// shareDelay is how long an observation takes to reach all gateways.
	shareDelay = 400 * time.Millisecond
	// crashTime is how long a server works on a prompt that crashes it.
	crashTime = 120 * time.Millisecond
	downtime  = 3 * time.Second
	window    = time.Second
	// gatherTime is how long a gateway gathers crashes.
	gatherTime = 100 * time.Millisecond
	badID      = "bad"
	seeds      = 12
	// bound is the time after the crash that must make bad prompts known from which on
	// maxLateSends of them may be sent.
	bound        = 3 * time.Second
	maxLateSends = 3
	// maxRefusedShare is the share of the other requests that may be refused.
	maxRefusedShare = 0.001
)

// load is a pattern of load and faults.
type load struct {
	gateways, servers, segments int
	// requestRate and badRate are requests per second, in all and with the bad segment.
	requestRate, badRate float64
	// massCrash is the share of the servers that crash together every 5 s without a cause in
	// a prompt.
	massCrash float64
	// crashRate is how many servers crash per second, one by one, without a cause in a prompt.
	crashRate float64
	// plain is whether the requests have no prompts, and are told apart as a whole. The popular share of
	// them are all alike.
	plain   bool
	popular float64
}

// knownCrashes returns the number of crashes under bad requests after which they must be known.
func (l load) knownCrashes() int {
	if l.plain {
		return 3
	}
	return 5
}

type request struct {
	segments []string
	gateway  int
	server   int
	began    time.Duration
	ends     time.Duration
	bad      bool
	sends    int
}

// observed are the crashes that a gateway gathers.
type observed struct {
	since   time.Duration
	crashes []quarantine.Crash
}

// fleet simulates the servers and what the gateways observe, and one tracker, whose events
// arrive late.
type fleet struct {
	load
	rand    *rand.Rand
	tracker *quarantine.Tracker
	now     time.Duration
	starts  []int
	upAt    []time.Duration
	running []request
	// observed is by gateway.
	observed []observed
	// answered holds when a segment was last answered.
	answered map[string]time.Time
	delayed  []func()
	dueAt    []time.Duration

	badCrashes, badSends int
	// knownAt is when enough servers had crashed.
	knownAt   time.Duration
	lateSends int
	// sound counts the other requests.
	sound, soundRefused int
	plainRequests       int
}

func (f *fleet) later(d time.Duration, do func()) {
	f.delayed, f.dueAt = append(f.delayed, do), append(f.dueAt, f.now+d)
}

func (f *fleet) time() time.Time { return epoch.Add(f.now) }

// send sends a request to a server that is up.
func (f *fleet) send(r request) {
	if !r.bad {
		f.sound++
	}
	if _, blocked := f.tracker.Find(f.time(), r.segments); blocked {
		if !r.bad {
			f.soundRefused++
		}
		return
	}
	var up []int
	for i, at := range f.upAt {
		if at <= f.now {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	r.server, r.began = up[f.rand.IntN(len(up))], f.now
	r.ends = f.now + time.Duration(300+f.rand.IntN(1200))*time.Millisecond
	if f.plain {
		r.ends = f.now + time.Duration(20+f.rand.IntN(60))*time.Millisecond
	}
	if r.bad {
		r.ends = f.now + crashTime
		f.badSends++
		if f.knownAt > 0 && f.now > f.knownAt+bound {
			f.lateSends++
		}
	}
	f.running = append(f.running, r)
}

// crash crashes a server: all its responses break off and are sent once more.
func (f *fleet) crash(server int) {
	start := fmt.Sprintf("%d/%d", server, f.starts[server])
	f.starts[server]++
	f.upAt[server] = f.now + downtime
	segments := map[int][]string{}
	var again []request
	f.running = slices.DeleteFunc(f.running, func(r request) bool {
		if r.server != server {
			return false
		}
		if f.now-r.began < window {
			segments[r.gateway] = append(segments[r.gateway], r.segments...)
		}
		if r.sends++; r.sends < 2 {
			again = append(again, r)
		}
		return true
	})
	for g, ids := range segments {
		if len(f.observed[g].crashes) == 0 {
			f.observed[g].since = f.now
		}
		f.observed[g].crashes = append(f.observed[g].crashes, quarantine.Crash{Server: start, Segments: ids})
	}
	for _, r := range again {
		f.send(r)
	}
}

// publish publishes the crashes that gateways have gathered for a while.
func (f *fleet) publish() {
	for g, o := range f.observed {
		if len(o.crashes) == 0 || f.now-o.since < gatherTime {
			continue
		}
		f.observed[g] = observed{}
		f.later(shareDelay, func() {
			for _, c := range o.crashes {
				f.tracker.RecordCrash(f.time(), c)
			}
			f.clearAnswered()
		})
	}
}

func (f *fleet) step() {
	for i := 0; i < len(f.delayed); i++ {
		if f.dueAt[i] <= f.now {
			f.delayed[i]()
			f.delayed, f.dueAt = slices.Delete(f.delayed, i, i+1), slices.Delete(f.dueAt, i, i+1)
			i--
		}
	}
	f.tracker.Expire(f.time())
	f.tracker.Conclude(f.time(), f.time())
	for n := f.requestRate * tick.Seconds(); f.rand.Float64() < n; n-- {
		f.send(f.request(fmt.Sprintf("b%d", f.rand.IntN(f.segments)), false))
	}
	for n := f.badRate * tick.Seconds(); f.rand.Float64() < n; n-- {
		f.send(f.request(badID, true))
	}
	if f.massCrash > 0 && f.now%(5*time.Second) == 0 && f.now > 0 {
		f.crashTogether()
	}
	if i := f.rand.IntN(f.servers); f.rand.Float64() < f.crashRate*tick.Seconds() && f.upAt[i] <= f.now {
		f.crash(i)
	}
	f.finish()
	f.publish()
}

// request returns a request that reaches any gateway.
func (f *fleet) request(segment string, bad bool) request {
	if f.plain {
		id := "bad"
		if !bad {
			f.plainRequests++
			id = fmt.Sprint(f.plainRequests)
		}
		if !bad && f.rand.Float64() < f.popular {
			id = "popular"
		}
		return request{segments: []string{quarantine.RequestID(id)}, gateway: f.rand.IntN(f.gateways), bad: bad}
	}
	return request{segments: []string{fmt.Sprintf("a%d", f.rand.IntN(4)), segment}, gateway: f.rand.IntN(f.gateways), bad: bad}
}

// crashTogether crashes a share of the servers.
func (f *fleet) crashTogether() {
	for i := range f.servers {
		if f.rand.Float64() < f.massCrash && f.upAt[i] <= f.now {
			f.crash(i)
		}
	}
}

// finish completes responses, and crashes the servers under bad prompts.
func (f *fleet) finish() {
	for i := 0; i < len(f.running); i++ {
		r := f.running[i]
		if r.ends > f.now {
			continue
		}
		if r.bad {
			if f.badCrashes++; f.badCrashes == f.knownCrashes() {
				f.knownAt = f.now
			}
			f.crash(r.server)
			i = -1
			continue
		}
		f.running = slices.Delete(f.running, i, i+1)
		i--
		for _, id := range r.segments {
			f.answered[id] = f.time()
		}
		f.clearAnswered()
	}
}

// clearAnswered records answers of watched segments.
func (f *fleet) clearAnswered() {
	for id, since := range f.tracker.Watched() {
		if f.answered[id].After(since) {
			f.later(shareDelay, func() { f.tracker.RecordAnswer(id) })
		}
	}
}

func play(l load, seed uint64) *fleet {
	f := &fleet{
		load: l, rand: rand.New(rand.NewPCG(seed, 0)), tracker: quarantine.NewTracker(),
		observed: make([]observed, l.gateways), starts: make([]int, l.servers), upAt: make([]time.Duration, l.servers), answered: map[string]time.Time{},
	}
	for ; f.now < 40*time.Second; f.now += tick {
		f.step()
	}
	return f
}

// TestPatterns replays prompts that crash servers, beside others that share their segments and
// servers, and servers that crash for other reasons.
func TestPatterns(t *testing.T) {
	for name, l := range map[string]load{
		"bad prompts at a small pool":                  {4, 18, 434, 46, 2.5, 0, 0, false, 0},
		"bad prompts at a large pool":                  {28, 50, 434, 120, 4, 0, 0, false, 0},
		"bad prompts at a large fleet":                 {103, 160, 900, 240, 6, 0, 0, false, 0},
		"few bad prompts":                              {4, 18, 175, 20, 0.4, 0, 0, false, 0},
		"a flood of bad prompts":                       {4, 18, 434, 46, 30, 0, 0, false, 0},
		"bad prompts, a fifth of the servers crashes":  {4, 18, 434, 46, 2.5, 0.2, 0, false, 0},
		"no bad prompts, a third of the servers crash": {4, 18, 175, 46, 0, 0.33, 0, false, 0},
		"no bad prompts, the whole pool crashes":       {4, 18, 434, 46, 0, 1, 0, false, 0},
		"no bad prompts, a tenth of a large pool":      {28, 50, 434, 120, 0, 0.1, 0, false, 0},
		"no bad prompts, servers crash one by one":     {4, 18, 175, 46, 0, 0, 1.5, false, 0},
		"a bad request":                                {4, 3, 1, 18, 1, 0, 0, true, 0},
		"a bad request beside a popular one":           {4, 3, 1, 18, 1, 0, 0, true, 0.5},
		"a flood of a bad request":                     {4, 3, 1, 60, 20, 0, 0, true, 0.5},
		"a bad request at a large fleet":               {103, 5, 1, 140, 3, 0, 0, true, 0.3},
		"a bad request, a third crashes too":           {4, 3, 1, 18, 1, 0.33, 0, true, 0.5},
		"no bad request, the whole pool crashes":       {4, 3, 1, 40, 0, 1, 0, true, 0.5},
		"no bad request, servers crash one by one":     {4, 3, 1, 40, 0, 0, 1.5, true, 0.5},
		"no bad request, a large fleet's pool does":    {103, 5, 1, 140, 0, 1, 0, true, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			refused, sound, bad := 0, 0, 0
			for seed := range uint64(seeds) {
				f := play(l, seed)
				refused, sound, bad = refused+f.soundRefused, sound+f.sound, bad+f.badSends
				if f.lateSends > maxLateSends {
					t.Errorf("seed %d: %d bad prompts were sent later than %s after crash %d under them", seed, f.lateSends, bound, l.knownCrashes())
				}
			}
			t.Logf("%.1f bad prompts sent a seed, %d of %d others refused", float64(bad)/seeds, refused, sound)
			if float64(refused) > maxRefusedShare*float64(sound) {
				t.Errorf("%d of %d other requests were refused", refused, sound)
			}
		})
	}
}

// requests returns the identifiers of requests.
func requests(names ...string) []string {
	var ids []string
	for _, name := range names {
		ids = append(ids, quarantine.RequestID(name))
	}
	return ids
}

// TestConcludeRequest checks which requests are quarantined after crashes under several ones, and
// that earlier answers clear a request, but not a segment.
func TestConcludeRequest(t *testing.T) {
	for name, tt := range map[string]struct {
		crashes [][]string
		want    [][]string
	}{
		"two crashes":                  {[][]string{requests("a"), requests("a")}, nil},
		"three crashes":                {[][]string{requests("a"), requests("a"), requests("a")}, [][]string{requests("a")}},
		"another one shares most":      {[][]string{requests("a", "b"), requests("a", "b"), requests("a")}, [][]string{requests("a")}},
		"another one shares all":       {[][]string{requests("a", "b"), requests("a", "b"), requests("a", "b")}, nil},
		"another one shares all but 1": {[][]string{requests("a", "b"), requests("a", "b"), requests("a", "b"), requests("a")}, [][]string{requests("a")}},
		"always together": {
			[][]string{requests("a", "b"), requests("a", "b"), requests("a", "b"), requests("a", "b"), requests("a", "b")},
			[][]string{requests("a"), requests("b")},
		},
		"segments of three crashes": {[][]string{{"s"}, {"s"}, {"s"}}, nil},
		"one of many prompts with a segment": {
			[][]string{append(requests("a"), "s"), append(requests("a"), "s"), append(requests("a"), "s"), append(requests("b"), "s")},
			[][]string{requests("a"), {"s"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := quarantine.NewTracker()
			for n, subjects := range tt.crashes {
				tracker.RecordCrash(epoch, quarantine.Crash{Server: fmt.Sprintf("s%d", n), Segments: subjects})
			}
			var got [][]string
			for _, e := range tracker.Conclude(epoch.Add(time.Second), epoch.Add(time.Second)) {
				got = append(got, e.Segments)
			}
			if fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
	tracker := quarantine.NewTracker()
	for n := range 3 {
		tracker.RecordCrash(epoch, quarantine.Crash{Server: fmt.Sprintf("s%d", n), Segments: append(requests("a"), "s")})
	}
	watched := tracker.Watched()
	if since := epoch.Sub(watched[requests("a")[0]]); since < quarantine.EvidenceLifetime {
		t.Errorf("answers to the request clear it from %s before its first crash on", since)
	}
	if since := epoch.Sub(watched["s"]); since >= quarantine.EvidenceLifetime {
		t.Errorf("answers to the segment clear it from %s before its first crash on", since)
	}
}

// TestConclude checks which segments are quarantined after crashes under several ones, and after
// further crashes.
func TestConclude(t *testing.T) {
	for name, tt := range map[string]struct {
		crashes [][]string
		further [][]string
		want    string
	}{
		"three crashes":                   {[][]string{{"a"}, {"a"}, {"a"}}, nil, "[]"},
		"another segment shares most":     {[][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"a", "b"}, {"b"}}, nil, "[[b]]"},
		"another segment shares as many":  {[][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"a"}, {"b"}}, nil, "[]"},
		"retries of one prompt":           {[][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"a", "b"}}, nil, "[[a b]]"},
		"two segments that crash servers": {[][]string{{"a"}, {"b"}, {"a"}, {"b"}, {"a"}, {"b"}, {"a"}, {"b"}}, nil, "[[a] [b]]"},
		"the quarantine explains earlier": {[][]string{{"b"}, {"a", "b"}, {"a", "b"}, {"a", "b"}}, [][]string{{"a"}}, "[[b]]"},
		"the quarantine explains later":   {[][]string{{"b"}, {"b"}, {"b"}, {"b"}}, [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"a", "b"}}, "[[b]]"},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := quarantine.NewTracker()
			now, n := epoch, 0
			got := [][]string{}
			for _, crashes := range [][][]string{tt.crashes, tt.further} {
				for _, segments := range crashes {
					tracker.RecordCrash(now, quarantine.Crash{Server: fmt.Sprintf("s%d", n), Segments: segments})
					n++
				}
				for range 2 {
					now = now.Add(time.Second)
					for _, e := range tracker.Conclude(now, now) {
						got = append(got, e.Segments)
					}
				}
			}
			if fmt.Sprint(got) != tt.want {
				t.Errorf("got %v, want %s", got, tt.want)
			}
		})
	}
}

// TestQuarantineAfterPause guards against prompts that a process quarantines when it runs on after a pause, as it hasn't
// read yet that other gateways got answers to them.
func TestQuarantineAfterPause(t *testing.T) {
	for _, stop := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
		for _, answered := range []bool{true, false} {
			tracker := quarantine.NewTracker()
			for _, server := range []string{"1", "2", "3", "4"} {
				tracker.RecordCrash(epoch, quarantine.Crash{Server: server, Segments: []string{"a"}})
			}
			// The last read before the pause was sent just after the crash.
			readAt, resumed := epoch.Add(100*time.Millisecond), epoch.Add(stop+200*time.Millisecond)
			if got := tracker.Conclude(resumed, readAt); len(got) > 0 {
				t.Errorf("%s: %v is in quarantine before the answers of the others were read", stop, got)
			}
			if answered {
				tracker.RecordAnswer("a")
			}
			if got := tracker.Conclude(resumed, resumed); (len(got) > 0) == answered {
				t.Errorf("%s, answered %t: %v is in quarantine once they were read", stop, answered, got)
			}
		}
	}
}

// TestQuarantineInLongOutage guards against a prompt that is sent again while the store is away, as the crashes from which
// this gateway concluded have expired, and against a quarantine that outlasts an answer or its time.
func TestQuarantineInLongOutage(t *testing.T) {
	tracker := quarantine.NewTracker()
	for _, server := range []string{"1", "2", "3", "4"} {
		tracker.RecordCrash(epoch, quarantine.Crash{Server: server, Segments: []string{"a", "b"}})
	}
	concludedAt := epoch.Add(time.Second)
	tracker.ConcludeAlone(concludedAt)
	expect := func(when string, now time.Time, segments []string, want bool) {
		t.Helper()
		if _, got := tracker.Find(now, segments); got != want {
			t.Errorf("%s: prompt with %v in quarantine %t, want %t", when, segments, got, want)
		}
	}
	expired := epoch.Add(quarantine.EvidenceLifetime + time.Second)
	tracker.Expire(expired)
	tracker.RecordCrash(expired, quarantine.Crash{Server: "5", Segments: []string{"c"}})
	if got := tracker.ConcludeAlone(expired); len(got) > 0 {
		t.Errorf("%v is concluded again", got)
	}
	expect("crashes expired", expired, []string{"a", "b"}, true)
	if since, watched := tracker.Watched()["a"]; !watched || since.Before(epoch) {
		t.Errorf("crashes expired: answers are watched %t, from %s on", watched, since)
	}
	tracker.RecordAnswer("a")
	tracker.ConcludeAlone(expired)
	expect("one segment answered", expired, []string{"a", "c"}, false)
	expect("one segment answered", expired, []string{"b"}, true)
	expect("an hour later", concludedAt.Add(quarantine.Duration), []string{"b"}, false)
	tracker.RecordAnswer("b")
	tracker.ConcludeAlone(expired)
	expect("both segments answered", expired, []string{"a", "b"}, false)
}
