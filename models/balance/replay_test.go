package balance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/roster"
)

// class is a class of requests of a deployment. Its rate is that of all gateways.
type class struct {
	shared, own int64
	perSecond   float64
	goal        time.Duration
}

// deployment describes a pool of engines and its requests.
type deployment struct {
	gateways, servers, workspaces int

	speeds      []float64
	tokensPerMs float64
	step        time.Duration
	memory      int64
	classes     []class
	// stalls is how often per second each server stands still for stallTime.
	stalls float64
}

const stallTime = 100 * time.Millisecond

// The reference deployments of docs/design/hard-load.md. It gives prompt sizes for A only, and B and C
// use the same.
func deploymentA() deployment {
	return deployment{29, 53, 24, []float64{1}, 56.1, 3 * 6450 * time.Microsecond, 470_231, mix(55, 72, 70, 800, 1500, 500), 0}
}

func deploymentB(speeds ...float64) deployment {
	return deployment{31, 56, 24, speeds, 36.7, 5 * 4340 * time.Microsecond, 350_003, mix(52, 37, 59, 1000, 1500, 2000), 0.2}
}

func deploymentC() deployment {
	return deployment{28, 52, 24, []float64{1}, 37.9, 6 * 4630 * time.Microsecond, 325_187, mix(31, 37, 34, 1000, 2000, 4000), 0}
}

func mix(rate1, rate2, rate3 float64, goal1, goal2, goal3 time.Duration) []class {
	return []class{
		{13_300, 3_720, rate1, goal1 * time.Millisecond},
		{6_300, 2_890, rate2, goal2 * time.Millisecond},
		{350, 1_110, rate3, goal3 * time.Millisecond},
	}
}

// engine is a server that processes prompts in the order of their arrival.
type engine struct {
	speed     float64
	busyUntil time.Time
	running   int
	cache     map[string]time.Time
	// busy is the time spent on prompts, and secondly the requests in each second.
	busy     time.Duration
	secondly []int
}

// attempt is a request at a server.
type attempt struct {
	at      time.Time
	gateway int
	kind    int
	server  string
	request balance.Request
	choice  balance.Choice
	sentAt  time.Time
	step    int
}

type schedule []*attempt

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, k int) bool { return s[i].at.Before(s[k].at) }
func (s schedule) Swap(i, k int)      { s[i], s[k] = s[k], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(*attempt)) }
func (s *schedule) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}

// replay runs the requests of a deployment through its gateways' balancers.
type replay struct {
	deployment
	constants bool
	rand      *rand.Rand
	balancers []*balance.Balancer
	engines   map[string]*engine
	events    schedule
	weights   []float64
	next      int
	// latencies are the times to the first event, and errors their ratios to the predictions.
	latencies, errors  []float64
	shared, recomputed int64
	// onChoice and onSend are called before and after each choice, unless they are nil.
	onChoice func(now time.Time)
	onSend   func(now time.Time, server string)
}

const (
	replayTime = 40 * time.Second
	// warmUp is the time that isn't measured.
	warmUp     = 10 * time.Second
	decodeTime = 2 * time.Second
	// burstFrom and burstFor are when the largest workspace sends burstRatio of its usual load.
	burstFrom  = 20 * time.Second
	burstFor   = 4 * time.Second
	burstRatio = 4
)

func newReplay(d deployment, constants bool, seed uint64) *replay {
	r := &replay{deployment: d, constants: constants, rand: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}}
	var list []roster.Server
	for i := range d.servers {
		id := fmt.Sprintf("s%03d", i)
		list = append(list, roster.Server{ID: id, Slots: 64, FailureDomain: "a"})
		r.engines[id] = &engine{speed: d.speeds[i%len(d.speeds)], cache: map[string]time.Time{}, secondly: make([]int, int(replayTime/time.Second)+1)}
	}
	for g := range d.gateways {
		b := balance.New(balance.WithFailureDomain("a"), balance.WithRand(rand.New(rand.NewPCG(seed, uint64(g)+10))))
		b.SetServers(list, d.memory)
		r.balancers = append(r.balancers, b)
	}
	for i := range d.workspaces {
		r.weights = append(r.weights, 1/float64(i+1))
	}
	for kind := range d.classes {
		r.scheduleArrival(start, kind)
	}
	return r
}

func (r *replay) scheduleArrival(now time.Time, kind int) {
	gap := r.rand.ExpFloat64() / r.classes[kind].perSecond
	heap.Push(&r.events, &attempt{at: now.Add(time.Duration(gap * float64(time.Second))), kind: kind})
}

func (r *replay) run() {
	for r.events.Len() > 0 {
		a := heap.Pop(&r.events).(*attempt)
		if a.at.Sub(start) > replayTime {
			return
		}
		b := r.balancers[a.gateway]
		switch a.step {
		case 0:
			r.arrive(a)
			r.scheduleArrival(a.at, a.kind)
		case 1:
			if a.at.Sub(start) > warmUp {
				took := a.at.Sub(a.sentAt)
				r.latencies = append(r.latencies, took.Seconds())
				r.errors = append(r.errors, took.Seconds()/a.choice.PredictedLatency.Seconds())
			}
			b.RecordFirstEvent(a.at, a.server, a.request, a.choice.CachedTokens)
			e := r.engines[a.server]
			a.step, a.at = 2, a.at.Add(time.Duration(float64(decodeTime)/e.speed))
			heap.Push(&r.events, a)
		case 2:
			r.engines[a.server].running--
			b.RecordEnd(a.server, a.request)
			b.RecordSuccess(a.server)
		}
	}
}

// arrive sends a new request from a gateway.
func (r *replay) arrive(a *attempt) {
	now, c := a.at, r.classes[a.kind]
	sinceBurst := now.Sub(start) - burstFrom
	r.weights[0] = 1
	if sinceBurst >= 0 && sinceBurst < burstFor {
		r.weights[0] = burstRatio
	}
	// A burst adds to the load: the arrivals are thinned otherwise.
	r.next++
	sent := attempt{at: now, kind: a.kind, gateway: r.rand.IntN(r.gateways), sentAt: now, step: 1}
	segment := fmt.Sprintf("%d/%d", a.kind, r.workspace())
	sent.request = balance.Request{
		ID: fmt.Sprint(r.next), Segments: []call.PrefixSegment{{ID: segment, Tokens: c.shared}, {ID: fmt.Sprint("own", r.next), Tokens: c.own}},
		PromptTokens: c.shared + c.own, Goal: c.goal, Idempotent: true,
	}
	b := r.balancers[sent.gateway]
	if r.onChoice != nil {
		r.onChoice(now)
	}
	if r.constants {
		b.DiscardEstimates()
	}
	choice, ok := b.Choose(now, sent.request)
	if !ok {
		return
	}
	b.RecordSent(now, choice.Server.ID, sent.request, choice)
	sent.choice, sent.server = choice, choice.Server.ID
	if r.onSend != nil {
		r.onSend(now, sent.server)
	}
	e := r.engines[sent.server]
	tokens := c.own
	measured := now.Sub(start) > warmUp
	if measured {
		r.shared += c.shared
	}
	if _, ok := e.cache[segment]; !ok {
		tokens += c.shared
		if measured {
			r.recomputed += c.shared
		}
	}
	e.use(now, segment, r.memory/c.shared/2)
	sent.at = e.process(now, r, tokens)
	heap.Push(&r.events, &sent)
}

// workspace returns the workspace of a request. A few are large.
func (r *replay) workspace() int {
	sum := 0.0
	for _, w := range r.weights {
		sum += w
	}
	x := r.rand.Float64() * sum
	for i, w := range r.weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return r.workspaces - 1
}

// use records that the segment is cached and evicts the least recently used beyond the limit.
func (e *engine) use(now time.Time, segment string, limit int64) {
	e.cache[segment] = now
	if int64(len(e.cache)) <= max(4, limit) {
		return
	}
	oldest := segment
	for id, at := range e.cache {
		if at.Before(e.cache[oldest]) {
			oldest = id
		}
	}
	delete(e.cache, oldest)
}

// process returns when the first event of a prompt leaves the server.
func (e *engine) process(now time.Time, r *replay, tokens int64) time.Time {
	if e.busyUntil.Before(now) {
		// It may have begun to stand still at any moment of the last stallTime.
		if r.rand.Float64() < r.stalls*stallTime.Seconds() {
			e.busyUntil = now.Add(time.Duration(r.rand.Float64() * float64(stallTime)))
		} else {
			e.busyUntil = now
		}
	}
	work := time.Duration(float64(tokens) / r.tokensPerMs / e.speed * float64(time.Millisecond))
	e.busyUntil = e.busyUntil.Add(work)
	if now.Sub(start) > warmUp {
		e.busy += work
	}
	e.secondly[int(now.Sub(start)/time.Second)]++
	steps := time.Duration((float64(r.step) + float64(e.running)*float64(time.Millisecond)) / e.speed)
	e.running++
	return e.busyUntil.Add(steps)
}

// result is what a replay measured.
type result struct {
	p50, p95, error50, error95, recomputed, busiest, jump float64
}

func (r *replay) result() result {
	slices.Sort(r.latencies)
	slices.Sort(r.errors)
	at := func(v []float64, q float64) float64 { return v[int(q*float64(len(v)-1))] }
	busiest, sum, jump := 0.0, 0.0, 0.0
	for _, e := range r.engines {
		busiest = max(busiest, e.busy.Seconds())
		sum += e.busy.Seconds()
		for i := int(warmUp / time.Second); i+2 < len(e.secondly); i++ {
			jump += math.Abs(float64(e.secondly[i+1] - e.secondly[i]))
		}
	}
	return result{
		p50: at(r.latencies, 0.5), p95: at(r.latencies, 0.95), error50: at(r.errors, 0.5), error95: at(r.errors, 0.95),
		recomputed: float64(r.recomputed) / float64(r.shared), busiest: busiest / sum * float64(r.servers),
		jump: jump / float64(len(r.latencies)),
	}
}

func (r result) String() string {
	return fmt.Sprintf("first event %.0f/%.0f ms, observed/predicted %.2f/%.2f, shared tokens read again %.4f, busiest/mean %.2f, change per second %.3f",
		r.p50*1000, r.p95*1000, r.error50, r.error95, r.recomputed, r.busiest, r.jump)
}

// measure returns the mean results of a deployment over some seeds.
func measure(d deployment, constants bool, seeds int) result {
	var sum result
	for seed := range uint64(seeds) {
		r := newReplay(d, constants, seed)
		r.run()
		sum = sum.plus(r.result(), float64(seeds))
	}
	return sum
}

func (r result) plus(o result, n float64) result {
	return result{
		r.p50 + o.p50/n, r.p95 + o.p95/n, r.error50 + o.error50/n, r.error95 + o.error95/n,
		r.recomputed + o.recomputed/n, r.busiest + o.busiest/n, r.jump + o.jump/n,
	}
}

// scaled returns the deployment with another number of gateways and servers, as many workspaces and
// as much load for each server, times load.
func (d deployment) scaled(gateways, servers int, load float64) deployment {
	d.classes = slices.Clone(d.classes)
	for i := range d.classes {
		d.classes[i].perSecond *= load * float64(servers) / float64(d.servers)
	}
	d.gateways, d.servers, d.workspaces = gateways, servers, max(1, d.workspaces*servers/d.servers)
	return d
}

// TestShortSlowness guards against a server that gets as many requests as before while it is slow for
// 100 ms, or fewer for seconds after that. Six gateways send prompts that share nothing, and one of four
// servers delays what it gets for that time.
func TestShortSlowness(t *testing.T) {
	const slowFor, runs = 100 * time.Millisecond, 40
	d := deployment{
		gateways: 6, servers: 4, workspaces: 400, speeds: []float64{1}, tokensPerMs: 37.9, step: 24 * time.Millisecond, memory: 300_000,
		classes: []class{{shared: 1, own: 1_000, perSecond: 80, goal: time.Second}},
	}
	slowAt := start.Add(warmUp)
	// counts are the requests of the slow server in each slowFor after it became slow.
	var counts [30]float64
	for seed := range uint64(runs) {
		r := newReplay(d, false, seed)
		r.onChoice = func(now time.Time) {
			if slow := r.engines["s001"]; now.After(slowAt) && now.Before(slowAt.Add(slowFor)) && slow.busyUntil.Before(slowAt.Add(slowFor)) {
				slow.busyUntil = slowAt.Add(slowFor)
			}
		}
		r.onSend = func(now time.Time, id string) {
			if i := int(now.Sub(slowAt) / slowFor); id == "s001" && now.After(slowAt) && i < len(counts) {
				counts[i]++
			}
		}
		r.run()
	}
	mean := func(from, to int) float64 {
		sum := 0.0
		for _, n := range counts[from:to] {
			sum += n
		}
		return sum / float64(to-from)
	}
	usual := mean(20, len(counts))
	if got := mean(1, 4) / usual; got > 0.8 {
		t.Errorf("100 to 400 ms after it became slow the server gets %.2f of the usual requests", got)
	}
	if got := mean(10, 20) / usual; got < 0.9 {
		t.Errorf("1 to 2 s after it became slow the server gets %.2f of the usual requests", got)
	}
}

// TestReplays compares learned estimates with constants on gateways that each see their own requests
// only. It guards against estimates that take the load of others for slow servers, and against choices
// that oscillate: the request rate of servers must not change more from one second to the next.
func TestReplays(t *testing.T) {
	a, b, c := deploymentA(), deploymentB(0.6, 1, 1.6), deploymentC()
	uniform := deploymentB(1)
	tests := []struct {
		name string
		deployment
	}{
		{"A", a},
		{"B", b},
		{"B, double load", b.scaled(b.gateways, b.servers, 2)},
		{"B, speed 1 only", uniform},
		{"B, speed 1 only, double load", uniform.scaled(uniform.gateways, uniform.servers, 2)},
		{"C", c},
		{"1 server, 4 gateways", c.scaled(4, 1, 1)},
		{"18 servers, 4 gateways", b.scaled(4, 18, 1)},
		{"18 servers, 103 gateways", b.scaled(103, 18, 1)},
		{"160 servers, 29 gateways", b.scaled(29, 160, 1)},
		{"160 servers, 103 gateways", b.scaled(103, 160, 1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const maxSeeds = 4
			seeds := min(max(1, 220/tt.servers), maxSeeds)
			constants, learned := measure(tt.deployment, true, seeds), measure(tt.deployment, false, seeds)
			t.Logf("constants: %s", constants)
			t.Logf("learned: %s", learned)
			// Replays of few seeds differ by noise that the means of 16 seeds don't show.
			const noise, recomputeNoise = 1.02, 0.003
			if learned.p50 > constants.p50*noise || learned.p95 > constants.p95*noise {
				t.Error("the first event is later")
			}
			if learned.recomputed > constants.recomputed+recomputeNoise {
				t.Error("more shared segments are read again")
			}
			if len(tt.speeds) == 1 && learned.busiest > constants.busiest*noise {
				t.Error("load is less even")
			}
			if learned.jump > constants.jump*noise {
				t.Error("the request rate of servers changes more")
			}
		})
	}
}
