// Package strain decides whether a gateway is short of its own resources, and what follows from that
// for its requests: which failures say something about a server, how long a connection attempt may
// take, and which requests are taken. The load that it handles is a large workspace at a gateway with a
// fraction of the others' bandwidth: connections to servers take longer than the time for an attempt, and
// the gateway would suspend servers that all others reach.
package strain

import (
	"math"
	"net/netip"
	"time"
)

const (
	// A link is strained once a connection attempt, whose packets cross it in both directions,
	// waits for linkRatio of the time that it has, and did so for the rest of that time, or waits for all of it
	// in one direction: then attempts fail. A burst that is over sooner makes none fail. It is strained until
	// an attempt waits for less than linkReliefRatio, which is above the usual delay of a small gateway, 25 ms
	// on average.
	linkRatio       = 0.5
	linkReliefRatio = 1.0 / 3
	// idleLinkRatio is the part of the time for an attempt below which the link does not delay responses.
	idleLinkRatio = 1.0 / 6
	// The processor is strained once goroutines wait for processorRatio of that time, until they
	// wait for less than processorReliefRatio.
	processorRatio       = 0.5
	processorReliefRatio = 0.1
	// peakTimeConstant is how fast a peak of the processor delay is forgotten. An attempt of twice the
	// usual time that began with the peak is judged by it.
	peakTimeConstant = 300 * time.Millisecond
	// Parts of the limits of file descriptors and memory in use. Above the full ratio, no request is taken.
	descriptorRatio, descriptorReliefRatio, descriptorFullRatio = 0.85, 0.75, 0.97
	memoryRatio, memoryReliefRatio, memoryFullRatio             = 0.9, 0.8, 0.98
	// urgentRatio is the part of the way from the beginning of a strain to full use above which only
	// short urgent calls are taken.
	urgentRatio = 0.6
	// smallBody is the size in bytes up to which a call is short.
	smallBody = 2 << 10
	// lateTime is how long the processor must be late by the time of a connection attempt before new connections
	// should go elsewhere. Readiness is polled once a second.
	lateTime = time.Second
	// minDuration keeps a strain from ending between two peaks.
	minDuration = 500 * time.Millisecond
	// Servers that were tried without any success in between: from suspectServers on, a timeout is
	// no evidence against a server; from cutOffServers on, the network counts as cut off.
	suspectServers = 2
	cutOffServers  = 3
	// evidenceTime is how long attempts count. While the network is cut off, they count for cutOffTime, as few
	// are made.
	evidenceTime = 2 * time.Second
	cutOffTime   = 10 * time.Second
	// maxChance is the largest probability that a strained gateway itself caused the failed attempts
	// at a server, at which they are evidence against the server.
	maxChance = 0.005
	// maxDialRatio limits the time of an attempt. The kernel repeats a lost SYN after a second, which
	// is too late for the deadlines of short calls.
	maxDialRatio = 4
	// minPauseRatio and maxPause bound the time before the next send of a request.
	minPauseRatio = 1.0 / 3
	maxPause      = 500 * time.Millisecond
	// retryAfter is about the time that a caller takes to reach another gateway.
	retryAfter = 100 * time.Millisecond
)

// Sample is what a gateway measures of its own resources.
type Sample struct {
	// ProcessorDelay is how long runnable goroutines wait, ReceiveDelay and TransmitDelay how long
	// bytes wait for the link.
	ProcessorDelay, ReceiveDelay, TransmitDelay time.Duration
	// MinTransmitDelay is how long bytes that are written wait for the link at least. TransmitDelay leaves a part of
	// the bandwidth unused.
	MinTransmitDelay time.Duration
	// Descriptors and Memory are the parts of the limits in use, or 0 if unknown.
	Descriptors, Memory float64
	// Arrived is whether bytes arrived from servers, the store or peers since the sample before.
	Arrived bool
}

// LinkDelay returns how long the packets of a connection attempt wait in both directions.
func (s Sample) LinkDelay() time.Duration { return s.ReceiveDelay + s.TransmitDelay }

// attempts are those at one server.
type attempts struct {
	// failed counts those that failed since the last success and since the strain began. The last of them took
	// from began until ended.
	failed       int
	began, ended time.Time
	// connected is the number of successful ones, as of connectedAt, decayed as the one of all servers.
	connected   float64
	connectedAt time.Time
}

// connectedUntil returns the decayed number of successful attempts.
func (a attempts) connectedUntil(now time.Time) float64 {
	return a.connected * decay(now.Sub(a.connectedAt))
}

// decay returns the weight of attempts of some time ago.
func decay(d time.Duration) float64 { return math.Exp(-max(0, d).Seconds() / evidenceTime.Seconds()) }

// shortage is that of one resource.
type shortage struct {
	short bool
	// aboveAt is when it was last above the value at which it ends.
	aboveAt time.Time
}

// byPrecedence orders the resources by how much their shortage explains.
var byPrecedence = []Resource{Network, Transmit, Receive, Descriptors, Memory, Processor}

// State is the state of a gateway's own resources. It is not safe for concurrent use. A nil State is
// that of a gateway whose resources are unknown: it is never strained, and failures are those of servers.
type State struct {
	dialTimeout time.Duration
	sample      Sample
	sampledAt   time.Time
	// processorPeak is the decayed peak of the processor delay.
	processorPeak time.Duration
	// delayedSince is when the link's delay reached linkRatio of dialTimeout, or the zero value.
	delayedSince time.Time
	// lateSince is when the processor became late by more than dialTimeout, or the zero value.
	lateSince time.Time
	// shortages are those of each resource, and resource is the first of them by precedence.
	shortages [Network + 1]shortage
	resource  Resource

	servers map[netip.AddrPort]attempts
	// failing is the number of servers whose last attempt failed, and prunedAt when old attempts were last forgotten.
	failing  int
	prunedAt time.Time
	// reachedAt is when the network was last seen to work: a connection was established or refused, or a
	// response arrived soon.
	reachedAt time.Time
	// respondedAt is when the last response or a part of one arrived, however late.
	respondedAt time.Time
	// connected and timedOut are decayed numbers of attempts, as of countedAt.
	connected, timedOut float64
	countedAt           time.Time
	// probedAt is when the last request was taken while the network was cut off.
	probedAt time.Time
}

// New returns the state of an idle gateway. dialTimeout is the time for a connection attempt while nothing
// is short.
func New(dialTimeout time.Duration) *State {
	return &State{dialTimeout: dialTimeout, servers: map[netip.AddrPort]attempts{}}
}

// Strained returns what the gateway is short of, or None.
func (s *State) Strained() Resource {
	if s == nil {
		return None
	}
	return s.resource
}

// Sample returns the last sample, with the decayed peak of the processor delay.
func (s *State) Sample() Sample {
	if s == nil {
		return Sample{}
	}
	sample := s.sample
	sample.ProcessorDelay = s.processorPeak
	return sample
}

// Observe records a sample.
func (s *State) Observe(now time.Time, sample Sample) {
	if s == nil {
		return
	}
	kept := math.Exp(-max(0, now.Sub(s.sampledAt)).Seconds() / peakTimeConstant.Seconds())
	s.processorPeak = max(sample.ProcessorDelay, time.Duration(float64(s.processorPeak)*kept))
	if sample.Arrived && s.sampledAt.After(s.respondedAt) {
		// They may have arrived at any time since then.
		s.respondedAt = s.sampledAt
	}
	s.sample, s.sampledAt = sample, now
	switch {
	case s.processorPeak < s.dialTimeout:
		s.lateSince = time.Time{}
	case s.lateSince.IsZero():
		s.lateSince = now
	}
	switch {
	case float64(sample.LinkDelay()) < linkRatio*float64(s.dialTimeout):
		s.delayedSince = time.Time{}
	case s.delayedSince.IsZero():
		s.delayedSince = now
	}
	// Most samples are taken while no server fails, and must not cost more where there are many servers.
	if s.failing > 0 || now.Sub(s.prunedAt) >= evidenceTime {
		s.prune(now)
	}
	s.decide(now)
}

// delayed reports whether the link delays connection attempts for so long that they fail. Without further load, each
// direction's delay falls by a millisecond per millisecond, so that an attempt that begins now takes as long as the
// longer one. With further load, the delay has lasted.
func (s *State) delayed() bool {
	if s.delayedSince.IsZero() {
		return false
	}
	lasted := s.sampledAt.Sub(s.delayedSince)
	return max(s.sample.ReceiveDelay, s.sample.TransmitDelay) >= s.dialTimeout || float64(lasted) >= (1-linkRatio)*float64(s.dialTimeout)
}

// decide sets the resources that the gateway is short of.
func (s *State) decide(now time.Time) {
	before := s.resource
	s.resource = None
	for _, r := range byPrecedence {
		value, begin, end := s.measure(r)
		l := &s.shortages[r]
		begins := value >= begin
		if r == Receive || r == Transmit {
			begins = begins && s.delayed()
		}
		switch {
		case begins, l.short && value >= end:
			l.short, l.aboveAt = true, now
		case r == Network, now.Sub(l.aboveAt) >= minDuration:
			l.short = false
		}
		if l.short && s.resource == None {
			s.resource = r
		}
	}
	if before == None && s.resource != None {
		s.resetCounts()
	}
}

// measure returns the present value of a resource, and those at which its shortage begins and ends. The directions of
// the link are judged together, as a connection attempt crosses both, and named by the longer delay.
func (s *State) measure(r Resource) (value, begin, end float64) {
	base := float64(s.dialTimeout)
	switch r {
	case Receive, Transmit:
		if (s.sample.ReceiveDelay > s.sample.TransmitDelay) == (r == Receive) {
			value = float64(s.sample.LinkDelay())
		}
		return value, linkRatio * base, linkReliefRatio * base
	case Descriptors:
		return s.sample.Descriptors, descriptorRatio, descriptorReliefRatio
	case Memory:
		return s.sample.Memory, memoryRatio, memoryReliefRatio
	case Processor:
		return float64(s.processorPeak), processorRatio * base, processorReliefRatio * base
	default:
		// Half of a short goal, after which a server counts as silent, is too short a time without any arrival.
		return float64(s.unreached(s.lastArrival(), s.dialTimeout)), cutOffServers, cutOffServers
	}
}

// resetCounts forgets how attempts ended before a strain, which says nothing about those during it.
func (s *State) resetCounts() {
	s.connected, s.timedOut = 0, 0
	for server, a := range s.servers {
		a.failed, a.connected = 0, 0
		s.set(server, a)
	}
}

// unreached returns the number of servers whose last attempt failed after at least the given duration, and began no
// earlier than the given time.
func (s *State) unreached(since time.Time, atLeast time.Duration) int {
	n := 0
	if s.failing == 0 {
		return n
	}
	for _, a := range s.servers {
		if !a.began.IsZero() && !since.After(a.began) && a.ended.Sub(a.began) >= atLeast {
			n++
		}
	}
	return n
}

// lastArrival returns when anything last arrived. Over a strained link, responses arrive late, but they do.
func (s *State) lastArrival() time.Time {
	if s.respondedAt.After(s.reachedAt) {
		return s.respondedAt
	}
	return s.reachedAt
}

// prune forgets old attempts.
func (s *State) prune(now time.Time) {
	s.prunedAt = now
	kept := evidenceTime
	if s.shortages[Network].short {
		kept = cutOffTime
	}
	for server, a := range s.servers {
		if now.Sub(a.ended) > kept && now.Sub(a.connectedAt) > evidenceTime {
			s.set(server, attempts{})
			delete(s.servers, server)
		}
	}
}

// set sets the attempts at a server.
func (s *State) set(server netip.AddrPort, a attempts) {
	if !s.servers[server].began.IsZero() {
		s.failing--
	}
	if !a.began.IsZero() {
		s.failing++
	}
	s.servers[server] = a
}

func (s *State) count(now time.Time) {
	kept := decay(now.Sub(s.countedAt))
	s.connected, s.timedOut, s.countedAt = s.connected*kept, s.timedOut*kept, now
}

// RecordReached records that the server accepted or refused a connection.
func (s *State) RecordReached(now time.Time, server netip.AddrPort) {
	if s == nil {
		return
	}
	s.count(now)
	s.connected++
	s.set(server, attempts{connected: s.servers[server].connectedUntil(now) + 1, connectedAt: now})
	s.reachedAt = now
	s.decide(now)
}

// RecordResponse records a response over an established connection, some time after it was asked for. It shows
// that the network works if it came within the time of a connection attempt, or if nothing is known to
// delay it.
func (s *State) RecordResponse(now time.Time, took time.Duration) {
	if s == nil {
		return
	}
	s.respondedAt = now
	if took <= s.dialTimeout || (s.resource == None && float64(s.sample.LinkDelay()) < idleLinkRatio*float64(s.dialTimeout)) {
		s.reachedAt = now
		s.decide(now)
	}
}

// RecordTimeout records that the server could not be reached, or was silent, from the given time until now,
// and reports whether that is evidence against the server. A single server that fails while others are
// reached, or that is the only one tried, has failed. If several fail and none was reached since they were
// tried, the gateway can't reach them. While the gateway is strained, a server has failed if so many
// failures at one server are unlikely by the failures at the others.
func (s *State) RecordTimeout(now time.Time, server netip.AddrPort, since time.Time) bool {
	if s == nil {
		return true
	}
	s.prune(now)
	s.count(now)
	s.timedOut++
	a := s.servers[server]
	a.failed, a.began, a.ended = a.failed+1, since, now
	s.set(server, a)
	s.decide(now)
	a = s.servers[server]
	switch {
	case !s.reachedAt.After(since) && s.unreached(s.reachedAt, 0) >= suspectServers:
		return false
	case s.resource != None:
		connected, timedOut := max(0, s.connected-a.connectedUntil(now)), max(0, s.timedOut-float64(a.failed))
		reachable := connected / (connected + timedOut + 1)
		return math.Pow(1-reachable, float64(a.failed)) <= maxChance
	}
	return true
}

// DialTimeout returns the time for a connection attempt: longer by what the link and the processor delay it.
func (s *State) DialTimeout() time.Duration {
	if s == nil {
		return 0
	}
	if s.resource == None {
		return s.dialTimeout
	}
	timeout := s.dialTimeout + s.Delay()
	if s.shortages[Network].short {
		timeout += s.dialTimeout
	}
	return min(timeout, maxDialRatio*s.dialTimeout)
}

// Delay returns by how much the gateway's own shortage delays a response, or 0 if it isn't strained.
func (s *State) Delay() time.Duration {
	if s == nil || s.resource == None {
		return 0
	}
	return 2*s.sample.LinkDelay() + s.processorPeak
}

// Pause returns how long the next send of a request waits, after so many sends. The pauses double, so that
// requests that wait don't keep the link from recovering.
func (s *State) Pause(sends int) time.Duration {
	if s == nil || s.resource == None {
		return 0
	}
	pause := max(time.Duration(minPauseRatio*float64(s.dialTimeout)), s.Delay())
	for range sends - 1 {
		pause *= 2
	}
	return min(pause, maxPause)
}

// InTime reports whether a request with so much time left may still reach a server in time. It is refused otherwise, so
// that the shortest possible delay decides. The estimate of the link is too coarse to tell whether the response arrives
// in time too.
func (s *State) InTime(left time.Duration) bool {
	return s == nil || s.resource == None || left >= s.sample.MinTransmitDelay
}

// Retries reports whether a request that reached no server is sent to another one. If the network is cut off, its
// caller gets the answer at once.
func (s *State) Retries() bool { return s.Strained() != Network }

// Admit reports whether a request is taken before its body is read, or the time after which its caller should
// come back. Less urgent requests are refused first, short urgent calls last. While the network is cut
// off, one request at a time finds out whether it still is. Link and processor are up to intake.Queue.
func (s *State) Admit(now time.Time, size int64, priority int) (after time.Duration, ok bool) {
	if s == nil {
		return 0, true
	}
	if s.shortages[Network].short {
		if now.Sub(s.probedAt) < s.DialTimeout() {
			return retryAfter, false
		}
		s.probedAt = now
	}
	if !s.shortages[Descriptors].short && !s.shortages[Memory].short {
		return 0, true
	}
	pressure := max(
		(s.sample.Descriptors-descriptorRatio)/(descriptorFullRatio-descriptorRatio),
		(s.sample.Memory-memoryRatio)/(memoryFullRatio-memoryRatio),
	)
	switch {
	case priority > 0:
		ok = pressure <= 0
	case size < 0 || size > smallBody:
		ok = pressure < urgentRatio
	default:
		ok = pressure < 1
	}
	return retryAfter, ok
}

// Ready reports whether new connections should come to this gateway. The link is up to intake.Link, which judges it by
// its rate: a burst of bodies delays a sound link too.
func (s *State) Ready() bool {
	if s == nil {
		return true
	}
	late := !s.lateSince.IsZero() && s.sampledAt.Sub(s.lateSince) >= lateTime
	return !late && !s.shortages[Network].short && !s.shortages[Descriptors].short && !s.shortages[Memory].short
}
