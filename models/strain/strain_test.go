package strain_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/intake"
	"github.com/crocusline/crocusline/models/strain"
)

const (
	dialTimeout = 150 * time.Millisecond
	maxSends    = 4
	// requestsPerSecond is the load of all gateways together.
	requestsPerSecond = 300.0
)

// scenario is the state of a gateway and of its servers.
type scenario struct {
	sample strain.Sample
	// reached is the part of the attempts at sound servers that succeed.
	reached float64
	crashed float64
}

// outcome counts what a gateway decided in a scenario.
type outcome struct {
	// soundFailed and crashedFailed count failed attempts, soundBlamed and crashedBlamed those that count against
	// the server.
	soundFailed, soundBlamed, crashedFailed, crashedBlamed int
	blamed                                                 map[int]bool
	refused, taken, sends                                  int
	state                                                  *strain.State
	now                                                    time.Time
}

func address(server int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(server >> 8), byte(server)}), 80)
}

// request is one that is being sent.
type request struct {
	at     time.Time
	tried  map[int]bool
	server int
	// since is when the attempt in progress began, or the zero value if the next one begins.
	since time.Time
}

// play has one of the gateways send its part of the requests for 20 s. A server with a failure that counts is
// avoided for a second, as long as there are others.
func play(seed uint64, servers, gateways int, sc scenario) outcome {
	r := rand.New(rand.NewPCG(seed, 0))
	s := strain.New(dialTimeout)
	start := time.Unix(1_700_000_000, 0)
	o := outcome{blamed: map[int]bool{}, state: s}
	crashed := int(sc.crashed * float64(servers))
	avoided := map[int]time.Time{}
	var pending []request
	for at := start; at.Sub(start) < 20*time.Second; {
		at = at.Add(time.Duration(r.ExpFloat64() * float64(gateways) / requestsPerSecond * float64(time.Second)))
		pending = append(pending, request{at: at, tried: map[int]bool{}})
	}
	for len(pending) > 0 {
		q := pending[0]
		pending = pending[1:]
		o.now = q.at
		s.Observe(q.at, sc.sample)
		switch {
		case len(q.tried) == 0:
			if _, ok := s.Admit(q.at, 600, 0); !ok {
				o.refused++
				continue
			}
			o.taken++
		case !q.since.IsZero():
			blamed := s.RecordTimeout(q.at, address(q.server), q.since)
			if blamed {
				o.blamed[q.server] = true
				avoided[q.server] = q.at.Add(time.Second)
			}
			o.count(q.server < crashed, blamed)
			if len(q.tried) < min(maxSends, servers) && s.Retries() {
				q.at, q.since = q.at.Add(s.Pause(len(q.tried))), time.Time{}
				pending = insert(pending, q)
			}
			continue
		}
		q.server = r.IntN(servers)
		for range 20 {
			if q.tried[q.server] || q.at.Before(avoided[q.server]) {
				q.server = r.IntN(servers)
			}
		}
		q.tried[q.server] = true
		o.sends++
		if q.server >= crashed && r.Float64() < sc.reached {
			s.RecordReached(q.at, address(q.server))
			continue
		}
		q.at, q.since = q.at.Add(s.DialTimeout()), q.at
		pending = insert(pending, q)
	}
	return o
}

// insert keeps the requests ordered by time.
func insert(pending []request, q request) []request {
	i, _ := slices.BinarySearchFunc(pending, q.at, func(other request, at time.Time) int { return other.at.Compare(at) })
	return slices.Insert(pending, i, q)
}

func (o *outcome) count(crashed, blamed bool) {
	n := 0
	if blamed {
		n = 1
	}
	if crashed {
		o.crashedFailed, o.crashedBlamed = o.crashedFailed+1, o.crashedBlamed+n
		return
	}
	o.soundFailed, o.soundBlamed = o.soundFailed+1, o.soundBlamed+n
}

// each calls f for all sizes of deployments.
func each(t *testing.T, sc scenario, f func(t *testing.T, servers int, o outcome)) {
	t.Helper()
	for _, servers := range []int{1, 18, 160} {
		for _, gateways := range []int{4, 29, 103} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%d servers, %d gateways, seed %d", servers, gateways, seed), func(t *testing.T) {
					f(t, servers, play(seed, servers, gateways, sc))
				})
			}
		}
	}
}

// TestCrashedServers guards against a sound gateway that takes crashed machines for a shortage of its own, so
// that they are tried again and again.
func TestCrashedServers(t *testing.T) {
	each(t, scenario{reached: 1, crashed: 0.25}, func(t *testing.T, _ int, o outcome) {
		if o.crashedFailed*2 > o.crashedBlamed*3 || o.soundFailed > 0 || o.refused*50 > o.taken {
			t.Errorf("%d of %d failures count against crashed servers, %d of %d requests refused", o.crashedBlamed, o.crashedFailed, o.refused, o.refused+o.taken)
		}
	})
	// A single server that fails is the only evidence that there can be.
	if o := play(1, 1, 4, scenario{}); o.soundBlamed < o.soundFailed || o.soundFailed == 0 {
		t.Errorf("%d of %d failures count against the only server", o.soundBlamed, o.soundFailed)
	}
}

// TestStrainedGateway guards against a gateway whose link or processor delays its attempts, and that blames servers
// which all others reach.
func TestStrainedGateway(t *testing.T) {
	for resource, sample := range map[strain.Resource]strain.Sample{
		strain.Transmit:  {TransmitDelay: 120 * time.Millisecond, ReceiveDelay: 40 * time.Millisecond},
		strain.Receive:   {ReceiveDelay: 90 * time.Millisecond},
		strain.Processor: {ProcessorDelay: 85 * time.Millisecond}, // a tenth of the processor, in periods of 100 ms
	} {
		for _, reached := range []float64{0.1, 0.5, 0.9} {
			each(t, scenario{sample: sample, reached: reached}, func(t *testing.T, _ int, o outcome) {
				if o.state.Strained() != resource && o.state.Strained() != strain.Network {
					t.Errorf("short of %s, want %s", o.state.Strained(), resource)
				}
				if o.soundBlamed*20 > o.soundFailed+20 {
					t.Errorf("reached %.1f: %d of %d failures count against sound servers", reached, o.soundBlamed, o.soundFailed)
				}
			})
		}
	}
}

// TestStrainedGatewayAndCrashedServers guards against a strained gateway that never finds out which machines have
// crashed.
func TestStrainedGatewayAndCrashedServers(t *testing.T) {
	sample := strain.Sample{TransmitDelay: 100 * time.Millisecond}
	each(t, scenario{sample: sample, reached: 0.9, crashed: 0.25}, func(t *testing.T, servers int, o outcome) {
		if o.soundBlamed*20 > o.soundFailed+20 {
			t.Errorf("%d of %d failures count against sound servers", o.soundBlamed, o.soundFailed)
		}
		// Small gateways of many try a server too rarely to tell.
		if servers == 18 && o.crashedFailed >= 40 && o.crashedBlamed*8 < o.crashedFailed {
			t.Errorf("%d of %d failures count against crashed servers", o.crashedBlamed, o.crashedFailed)
		}
	})
}

// TestCutOff guards against a gateway without network that suspends all servers and has its callers wait, and
// against one that doesn't notice the end of that.
func TestCutOff(t *testing.T) {
	each(t, scenario{}, func(t *testing.T, servers int, o outcome) {
		if servers == 1 {
			return
		}
		if len(o.blamed) > 1 {
			t.Errorf("%d of %d servers are blamed", len(o.blamed), servers)
		}
		if o.state.Strained() != strain.Network || o.state.Ready() || o.sends*10 > 9*(o.taken+o.refused)+100 {
			t.Errorf("short of %s, %d requests taken and %d refused, %d sends", o.state.Strained(), o.taken, o.refused, o.sends)
		}
		o.state.RecordReached(o.now, address(0))
		if _, ok := o.state.Admit(o.now, 9000, 2); o.state.Strained() != strain.None || !ok {
			t.Error("not sound once a server was reached")
		}
	})
}

// TestReadyWithoutOscillation guards against a gateway that changes between ready and not ready with each sample
// of a delay about a threshold, and against requests that can't be answered in time.
func TestReadyWithoutOscillation(t *testing.T) {
	s := strain.New(dialTimeout)
	now := time.Unix(1_700_000_000, 0)
	r := rand.New(rand.NewPCG(1, 0))
	changes, unready := 0, 0
	for range 2000 {
		now = now.Add(50 * time.Millisecond)
		sample := strain.Sample{TransmitDelay: time.Duration((60 + 30*r.Float64()) * float64(time.Millisecond)), Descriptors: 0.8 + 0.1*r.Float64()}
		sample.MinTransmitDelay = sample.TransmitDelay / 2
		before := s.Ready()
		s.Observe(now, sample)
		if s.Ready() != before {
			changes++
		}
	}
	if changes > 2 {
		t.Errorf("%d changes while the delay stays about the threshold", changes)
	}
	if delay := s.Sample().MinTransmitDelay; s.InTime(delay-time.Millisecond) || !s.InTime(delay) {
		t.Errorf("with a delay of %s, requests are sent whose time is over before they reach a server, or others are not", delay)
	}
	if s.DialTimeout() <= dialTimeout || s.Pause(2) <= s.Pause(1) || s.Pause(1) < 50*time.Millisecond {
		t.Errorf("attempts get %s and pause for %s", s.DialTimeout(), s.Pause(1))
	}
	// The usual load of a small gateway: short peaks of the link and of a processor that is shared.
	for i := range 2000 {
		now = now.Add(50 * time.Millisecond)
		sample := strain.Sample{TransmitDelay: 20 * time.Millisecond}
		if i%200 == 0 {
			sample.TransmitDelay = 90 * time.Millisecond
		}
		if i%20 == 0 {
			sample.ProcessorDelay = 200 * time.Millisecond
		}
		if s.Observe(now, sample); i >= 20 && !s.Ready() {
			unready++
		}
	}
	if unready > 2000/8 {
		t.Errorf("unready at %d of 2000 samples under the usual load", unready)
	}
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		s.Observe(now, strain.Sample{ProcessorDelay: 300 * time.Millisecond})
	}
	if s.Ready() {
		t.Error("ready although the processor has been late for 2 s")
	}
}

// TestAdmitByUrgency guards against short urgent calls that are refused before others, and against a shortage of
// descriptors that another one hides.
func TestAdmitByUrgency(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	requests := []struct {
		size     int64
		priority int
		until    float64
	}{{600, 2, 0.85}, {9000, 0, 0.92}, {-1, 0, 0.92}, {600, 0, 0.969}}
	for percent := range 100 {
		used := float64(percent) / 100
		s := strain.New(dialTimeout)
		s.Observe(now, strain.Sample{Descriptors: used, TransmitDelay: 200 * time.Millisecond})
		if s.Strained() != strain.Transmit {
			t.Fatalf("short of %s, want the link to hide the descriptors", s.Strained())
		}
		for _, r := range requests {
			after, ok := s.Admit(now, r.size, r.priority)
			if ok != (used <= r.until) || (!ok && after <= 0) {
				t.Errorf("%.2f of the descriptors: body of %d bytes, priority %d: taken %t", used, r.size, r.priority, ok)
			}
		}
	}
}

// TestUnknownResources guards against effects on a deployment whose settings name no bandwidth.
func TestUnknownResources(t *testing.T) {
	var s *strain.State
	now := time.Unix(1_700_000_000, 0)
	s.RecordReached(now, address(1))
	s.RecordResponse(now, 0)
	for server := range 10 {
		if !s.RecordTimeout(now, address(server), now) {
			t.Error("a failure isn't the server's")
		}
	}
	_, taken := s.Admit(now, 9000, 2)
	if s.Observe(now, strain.Sample{}); s.Strained() != strain.None || !taken || !s.Ready() || !s.InTime(0) || s.Pause(3) != 0 || s.DialTimeout() != 0 || s.Delay() != 0 {
		t.Error("the state has an effect")
	}
}

// TestBurstsAtWideLink guards against a gateway with 1,000 Mbit/s that counts as strained because bodies of 1 MiB arrive
// and are forwarded within milliseconds, and against one that notices too late that its link makes attempts fail.
func TestBurstsAtWideLink(t *testing.T) {
	const (
		body           = 1 << 20
		bytesPerSecond = 125e6
		sampleInterval = 50 * time.Millisecond
	)
	for _, tt := range []struct {
		bodies int
		// every is the time between two bursts, and phase that from a sample until the first one.
		every, phase time.Duration
		strained     bool
	}{
		{1, 50 * time.Millisecond, 10 * time.Millisecond, false},
		{4, 100 * time.Millisecond, 0, false},
		{8, 250 * time.Millisecond, 0, false},
		{8, 250 * time.Millisecond, 49 * time.Millisecond, false},
		{10, 500 * time.Millisecond, 25 * time.Millisecond, false},
		{12, 300 * time.Millisecond, 25 * time.Millisecond, false},
		// By the estimate, what comes next waits for longer than an attempt has.
		{16, time.Second, 0, true},
		{16, time.Second, time.Millisecond, true},
		{16, time.Second, 49 * time.Millisecond, true},
		// The link carries less than arrives.
		{4, 30 * time.Millisecond, 0, true},
	} {
		s, link := strain.New(dialTimeout), intake.NewLink(bytesPerSecond)
		now := time.Unix(1_700_000_000, 0)
		burst, strained := now.Add(tt.phase), false
		for end := now.Add(3 * time.Second); now.Before(end) && !strained; now = now.Add(sampleInterval) {
			var arrived int64
			for ; !burst.After(now); burst = burst.Add(tt.every) {
				arrived += int64(tt.bodies) * body
			}
			link.Record(now, arrived, arrived)
			receive, transmit := link.Delays(now)
			s.Observe(now, strain.Sample{ReceiveDelay: receive, TransmitDelay: transmit})
			strained = s.Strained() != strain.None
		}
		if strained != tt.strained {
			t.Errorf("%d bodies every %s, %s after a sample: strained %t", tt.bodies, tt.every, tt.phase, strained)
		}
	}
}

// TestLateResponsesOverStrainedLink guards against a gateway that takes a strained link, over which all attempts fail,
// for a network that is cut off, and refuses all requests, while responses still arrive, though late.
func TestLateResponsesOverStrainedLink(t *testing.T) {
	s := strain.New(dialTimeout)
	now := time.Unix(1_700_000_000, 0)
	for i := range 100 {
		now = now.Add(50 * time.Millisecond)
		s.Observe(now, strain.Sample{TransmitDelay: 400 * time.Millisecond, ReceiveDelay: 200 * time.Millisecond})
		if s.RecordTimeout(now, address(i%18), now.Add(-dialTimeout)) {
			t.Errorf("failure %d counts against a server", i)
		}
		if i%2 == 0 {
			s.RecordResponse(now, time.Second)
		}
		if _, ok := s.Admit(now, 9000, 1); !ok || s.Strained() != strain.Transmit || !s.Retries() {
			t.Fatalf("after %d failures: short of %s, request taken %t", i+1, s.Strained(), ok)
		}
	}
	// Nothing arrives any more.
	for i := range 10 {
		now = now.Add(50 * time.Millisecond)
		s.RecordTimeout(now, address(i), now.Add(-dialTimeout))
	}
	if s.Strained() != strain.Network {
		t.Errorf("short of %s after nothing arrived for 0.5 s", s.Strained())
	}
}

// TestStreamsWhileServersFail guards against a gateway that counts its network as cut off because three servers fail in a
// row, although events of streams from other servers arrive meanwhile: it would refuse all requests.
func TestStreamsWhileServersFail(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		s := strain.New(dialTimeout)
		now := time.Unix(1_700_000_000, 0)
		for i := range 4 {
			began := now
			for now.Sub(began) < dialTimeout {
				now = now.Add(50 * time.Millisecond)
				s.Observe(now, strain.Sample{Arrived: arrives})
			}
			s.RecordTimeout(now, address(i), began)
		}
		if cutOff := s.Strained() == strain.Network; cutOff == arrives || s.Ready() != arrives {
			t.Errorf("bytes arrive %t: short of %s, ready %t", arrives, s.Strained(), s.Ready())
		}
	}
}

// TestSlowServersOfShortCalls guards against a gateway that counts its network as cut off because three servers of a plain
// service are slow: half of a goal of 120 ms, after which another server is looked for, is less than the time in which
// something else would surely have arrived. No server is blamed for that either, but for the first.
func TestSlowServersOfShortCalls(t *testing.T) {
	s := strain.New(dialTimeout)
	now := time.Unix(1_700_000_000, 0)
	began, blamed := now, 0
	now = now.Add(60 * time.Millisecond)
	s.Observe(now, strain.Sample{})
	for i := range 4 {
		if s.RecordTimeout(now, address(i), began) {
			blamed++
		}
	}
	if _, ok := s.Admit(now, 600, 0); !ok || s.Strained() != strain.None || !s.Ready() {
		t.Errorf("short of %s, ready %t, request taken %t", s.Strained(), s.Ready(), ok)
	}
	if blamed != 1 {
		t.Errorf("%d servers are blamed, want 1", blamed)
	}
	// The same servers don't accept connections.
	began, now = now, now.Add(dialTimeout)
	for i := range 4 {
		s.RecordTimeout(now, address(i), began)
	}
	if s.Strained() != strain.Network {
		t.Errorf("short of %s after attempts at 4 servers", s.Strained())
	}
}
