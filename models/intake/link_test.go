package intake_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/intake"
	"github.com/crocusline/crocusline/models/strain"
)

const (
	packet = 66
	// connectTime is what a connection attempt to a server may take.
	connectTime = 150 * time.Millisecond
	// sampleInterval is the time between two samples of the counters, pollInterval that between two polls of the
	// readiness. After missedPolls new connections go to other gateways, and those of callers are closed.
	sampleInterval = 50 * time.Millisecond
	pollInterval   = time.Second
	missedPolls    = 2
)

// linkEvent is something that happens at a time.
type linkEvent struct {
	at time.Time
	do func()
}

type linkEvents []linkEvent

func (e linkEvents) Len() int           { return len(e) }
func (e linkEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e linkEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *linkEvents) Push(x any)        { *e = append(*e, x.(linkEvent)) }
func (e *linkEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// thinLink is a gateway behind a link that carries bytesPerSecond in each direction, first come, first served.
type thinLink struct {
	*testing.T
	rand          *rand.Rand
	queue         *intake.Queue
	link          *intake.Link
	state         *strain.State
	now           time.Time
	events        linkEvents
	receivedUntil time.Time
	sentUntil     time.Time
	read, written int64
	// late counts the attempts to connect that the link delays for longer than they may take, and unnoticed those
	// of them at whose end the gateway was not strained.
	attempts, late, unnoticed int
	accepted, refused, calls  int
	// unready counts the samples at which the link was saturated, changes how often that changed.
	unready, changes, samples int
	saturated                 bool
	missed                    int
	// strained counts the samples at which connection attempts would be judged as those of a strained gateway.
	strained          int
	receive, transmit estimate
	// refusedInTime counts the samples at which a request that reaches a server in time would be refused, and sentLate
	// those at which a strained gateway would send one that doesn't.
	refusedInTime, sentLate int
	away                    map[int]bool
}

// estimate sums up the estimates for one direction: how far they were below and above the delay of the link at most.
type estimate struct {
	below, above, sum time.Duration
	samples           int
}

func (e *estimate) record(estimated time.Duration, now, until time.Time) {
	over := estimated - max(0, until.Sub(now))
	e.below, e.above, e.sum = max(e.below, -over), max(e.above, over), e.sum+estimated
	e.samples++
}

func (e *estimate) mean() time.Duration { return e.sum / time.Duration(e.samples) }

func newThinLink(t *testing.T, seed uint64) *thinLink {
	l := &thinLink{
		T: t, rand: rand.New(rand.NewPCG(seed, 1)), queue: intake.New(bytesPerSecond), link: intake.NewLink(bytesPerSecond),
		state: strain.New(connectTime), now: time.Unix(1_700_000_000, 0), away: map[int]bool{},
	}
	l.at(0, l.sampleOften)
	l.at(0, l.poll)
	return l
}

func (l *thinLink) at(d time.Duration, do func()) {
	heap.Push(&l.events, linkEvent{l.now.Add(d), do})
}

// carry returns how long n bytes take that enter a direction now.
func (l *thinLink) carry(until *time.Time, n int) time.Duration {
	if until.Before(l.now) {
		*until = l.now
	}
	*until = until.Add(time.Duration(float64(n) / bytesPerSecond * float64(time.Second)))
	return until.Sub(l.now)
}

func withPackets(n int) int { return n + (n+1447)/1448*packet }

// send hands n bytes to the kernel.
func (l *thinLink) send(n int) time.Duration {
	l.written += int64(withPackets(n))
	l.read += packet
	l.carry(&l.receivedUntil, packet)
	return l.carry(&l.sentUntil, withPackets(n))
}

// arrive has n bytes arrive.
func (l *thinLink) arrive(n int, do func()) {
	d := l.carry(&l.receivedUntil, withPackets(n))
	l.at(d, func() {
		l.read += int64(withPackets(n))
		l.written += packet
		l.carry(&l.sentUntil, packet)
		do()
	})
}

// sample reads the counters.
func (l *thinLink) sample() {
	l.link.Record(l.now, l.read, l.written)
	l.read, l.written = 0, 0
	receive, transmit := l.link.Delays(l.now)
	l.state.Observe(l.now, strain.Sample{ReceiveDelay: receive, TransmitDelay: transmit, MinTransmitDelay: l.link.MinTransmitDelay(l.now)})
	// What was written since the sample before counts as of now.
	delay := max(0, l.sentUntil.Sub(l.now))
	if !l.state.InTime(delay + sampleInterval) {
		l.refusedInTime++
	}
	if delay > 0 && l.state.Strained() != strain.None && l.state.InTime(delay-1) {
		l.sentLate++
	}
	l.receive.record(receive, l.now, l.receivedUntil)
	l.transmit.record(transmit, l.now, l.sentUntil)
	before := l.saturated
	if l.saturated = l.link.Saturated(l.now); l.saturated != before {
		l.changes++
	}
}

func (l *thinLink) sampleOften() {
	l.sample()
	if l.samples++; l.saturated {
		l.unready++
	}
	if l.state.Strained() != strain.None {
		l.strained++
	}
	l.at(sampleInterval, l.sampleOften)
}

func (l *thinLink) poll() {
	if l.missed++; !l.saturated {
		l.missed = 0
		clear(l.away)
	}
	l.at(pollInterval, l.poll)
}

// forward connects to a server, sends a body, which is sent again in one of six cases, and passes on
// the events of its stream.
func (l *thinLink) forward(body int) {
	l.attempts++
	began := l.now
	l.at(max(0, l.sentUntil.Sub(l.now)), func() {
		// The first packet has crossed the link, and its answer follows what is on its way here.
		if l.now.Sub(began)+max(0, l.receivedUntil.Sub(l.now)) < connectTime {
			return
		}
		l.late++
		l.at(max(0, connectTime-l.now.Sub(began)), func() {
			if l.sample(); l.state.Strained() == strain.None {
				l.unnoticed++
			}
		})
	})
	sent := l.send(body)
	if l.rand.IntN(6) == 0 {
		l.at(sent+connectTime, func() { l.at(l.state.Pause(1), func() { l.forward(body) }) })
		return
	}
	if body <= 600 {
		l.at(sent+15*time.Millisecond, func() { l.arrive(300, func() { l.send(300) }) })
		return
	}
	for i := range 40 + l.rand.IntN(18) {
		l.at(sent+300*time.Millisecond+time.Duration(i)*25*time.Millisecond, func() { l.arrive(45, func() { l.send(45) }) })
	}
}

// request has a caller send a request with a body.
func (l *thinLink) request(caller, body int) {
	if l.away[caller] {
		return
	}
	// Its connection is closed with the response.
	l.away[caller] = l.missed >= missedPolls && l.saturated
	l.queue.RecordReceived(l.now, int64(body))
	_, accepted := l.queue.Accept(l.now, int64(body), l.rand.IntN(3), 0)
	switch {
	case body <= 600:
		if l.calls++; !accepted {
			l.Error("a short call was refused")
		}
	case !accepted:
		l.refused++
		// Most of a refused body is on its way.
		l.carry(&l.receivedUntil, withPackets(min(body, 10*1448)))
		return
	default:
		l.accepted++
	}
	l.arrive(body, func() { l.forward(body) })
}

// run has callers send so many requests a second for a time, of which one in five is a short call.
func (l *thinLink) run(rate float64, d time.Duration) {
	end := l.now.Add(d)
	var next func()
	next = func() {
		body := 600
		if l.rand.IntN(5) > 0 {
			mean := []float64{17_000, 9_200, 9_200, 1_500, 1_500}[l.rand.IntN(5)]
			body = min(100_000, 601+int((0.4+0.6*l.rand.ExpFloat64())*mean))
		}
		l.request(l.rand.IntN(200), body)
		if wait := time.Duration(l.rand.ExpFloat64() / rate * float64(time.Second)); l.now.Add(wait).Before(end) {
			l.at(wait, next)
		}
	}
	l.at(0, next)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(linkEvent)
		l.now = e.at
		e.do()
	}
	l.now = end
}

// forget sets the counts of what happened to 0.
func (l *thinLink) forget() {
	l.attempts, l.late, l.unnoticed, l.accepted, l.refused = 0, 0, 0, 0, 0
	l.samples, l.unready, l.changes, l.strained = 0, 0, 0, 0
	l.receive, l.transmit, l.refusedInTime, l.sentLate = estimate{}, estimate{}, 0, 0
}

// TestStreamsAtThinLink guards against a gateway that doesn't notice that its link is full, as only bodies that arrive
// count and not the same bodies when they are forwarded, or the events of streams: connections to servers take too
// long then, and their servers would be blamed. A workspace sends 7.5 times its usual load to a gateway with 10 Mbit/s.
// Before and after that the gateway may not be unready for more than an eighth of the time, nor strained for more than a
// quarter, and all gateways together for a twentieth. At most one body in 50 may be refused: one of 100,000 bytes takes
// the link for 80 ms, and what comes right behind it would wait.
func TestStreamsAtThinLink(t *testing.T) {
	const (
		usual = 18.0
		// maxError is how far an estimate may be from the delay under the usual load.
		maxError = 110 * time.Millisecond
	)
	refused, accepted, strained, samples := 0, 0, 0, 0
	for seed := range uint64(20) {
		l := newThinLink(t, seed)
		l.runUsual(seed, usual, maxError)
		refused, accepted, strained, samples = refused+l.refused, accepted+l.accepted, strained+l.strained, samples+l.samples

		l.forget()
		l.run(7.5*usual, time.Second)
		if !l.saturated {
			t.Errorf("seed %d: not saturated after a second of the load", seed)
		}
		l.run(7.5*usual, 9*time.Second)
		if l.late == 0 || l.unnoticed > 0 {
			t.Errorf("seed %d: the link delays %d of %d connection attempts too long, %d of them at a gateway that isn't strained",
				seed, l.late, l.attempts, l.unnoticed)
		}
		if l.refused == 0 || l.accepted < int(usual*0.8*10) {
			t.Errorf("seed %d: %d requests accepted and %d refused", seed, l.accepted, l.refused)
		}
		if l.transmit.below > 0 || l.receive.mean() < connectTime || l.transmit.mean() < connectTime {
			t.Errorf("seed %d: under the load the link delays bytes by %s and %s on average, and for up to %s longer than estimated",
				seed, l.receive.mean(), l.transmit.mean(), l.transmit.below)
		}
		if l.refusedInTime > 0 || l.sentLate > 0 {
			t.Errorf("seed %d: under the load, requests that reach a server would be refused %d times, and too late ones sent %d times",
				seed, l.refusedInTime, l.sentLate)
		}
		if l.changes > 4 {
			t.Errorf("seed %d: saturated or not %d times under the load", seed, l.changes)
		}

		l.forget()
		if l.run(usual, 5*time.Second); l.saturated || l.changes > 3 {
			t.Errorf("seed %d: saturated %t after the load, %d changes", seed, l.saturated, l.changes)
		}
		l.run(usual, 5*time.Second)
		l.runUsual(seed, usual, maxError)
		refused, accepted, strained, samples = refused+l.refused, accepted+l.accepted, strained+l.strained, samples+l.samples
	}
	if strained*20 > samples {
		t.Errorf("strained at %d of %d samples under the usual load", strained, samples)
	}
	if refused*50 > accepted {
		t.Errorf("%d of %d bodies refused under the usual load", refused, refused+accepted)
	}
}

// runUsual runs the usual load and checks what the gateway makes of it.
func (l *thinLink) runUsual(seed uint64, rate float64, maxError time.Duration) {
	l.forget()
	l.run(rate, 10*time.Second)
	if l.unready > l.samples/8 || l.changes > 2 {
		l.Errorf("seed %d: saturated at %d of %d samples under the usual load, %d changes", seed, l.unready, l.samples, l.changes)
	}
	if l.strained > l.samples/4 {
		l.Errorf("seed %d: strained at %d of %d samples under the usual load", seed, l.strained, l.samples)
	}
	for direction, e := range map[string]estimate{"receive": l.receive, "transmit": l.transmit} {
		if e.below > maxError || e.above > maxError {
			l.Errorf("seed %d: the estimate is up to %s below and %s above the delay to %s", seed, e.below, e.above, direction)
		}
	}
}

// TestSaturatedLink guards against a link that counts as idle as only one of its directions is full, and against one
// that changes with each sample about a threshold.
func TestSaturatedLink(t *testing.T) {
	for direction, record := range map[string]func(*intake.Link, time.Time, int64){
		"receive":  func(l *intake.Link, now time.Time, size int64) { l.Record(now, size, 0) },
		"transmit": func(l *intake.Link, now time.Time, size int64) { l.Record(now, 0, size) },
	} {
		l, unknown := intake.NewLink(bytesPerSecond), intake.NewLink(0)
		now := time.Unix(1_700_000_000, 0)
		for _, phase := range []struct {
			load      float64
			saturated bool
		}{{0.45, false}, {0.65, true}, {0.45, true}, {0.3, false}, {0.45, false}, {2, true}, {0.1, false}} {
			changes, before := 0, l.Saturated(now)
			for range 60 {
				now = now.Add(sampleInterval)
				size := int64(phase.load * bytesPerSecond * sampleInterval.Seconds())
				record(l, now, size)
				record(unknown, now, size)
				if after := l.Saturated(now); after != before {
					changes, before = changes+1, after
				}
			}
			if before != phase.saturated || changes > 1 {
				t.Errorf("%s: saturated %t at %.2f of the bandwidth after %d changes, want %t", direction, before, phase.load, changes, phase.saturated)
			}
		}
		if receive, transmit := unknown.Delays(now); unknown.Saturated(now) || receive != 0 || transmit != 0 {
			t.Errorf("%s: delays of %s and %s without a known bandwidth", direction, receive, transmit)
		}
	}
}
