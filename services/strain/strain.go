// Package strain measures the resources of a gateway and holds the state of models/strain, by which requests
// are taken and failures are classified.
package strain

import (
	"context"
	"net/netip"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/intake"
	"github.com/crocusline/crocusline/models/strain"
	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/modules/netmeter"
)

// Name is the service's name.
const Name = "strain"

const (
	// sampleInterval is the time between two samples: a third of the time of a connection attempt.
	sampleInterval = 50 * time.Millisecond
	// headerBytes is the usual size of a request's header.
	headerBytes = 600
	// unreadBytes is the part of a body that may arrive before it is read: the usual size of a receive buffer in the
	// system. What follows counts in the link as it is read, and may never come.
	unreadBytes = 128 << 10
	// missedPolls is the number of polls after which new connections go to other gateways. Callers whose connections
	// are closed before come back to this one.
	missedPolls = 2
	// otherDescriptors are those of the process beside connections.
	otherDescriptors = 24
)

// Metrics of the service.
const (
	strainsBegun      = "crocusline_strains_total"
	strainMillis      = "crocusline_strained_milliseconds_total"
	failuresExcused   = "crocusline_failures_excused_total"
	sendsDelayed      = "crocusline_sends_delayed_total"
	sendsLate         = "crocusline_sends_late_total"
	strainedGauge     = "crocusline_strained"
	linkDelayGauge    = "crocusline_link_delay_seconds"
	linkBytesGauge    = "crocusline_link_bytes"
	connectionsGauge  = "crocusline_connections_open"
	memoryUsedGauge   = "crocusline_memory_used_ratio"
	totalMemoryName   = "/memory/classes/total:bytes"
	releasedBytesName = "/memory/classes/heap/released:bytes"
)

// Option configures a Service.
type Option func(*Service)

// WithBandwidth sets the bandwidth of the gateway's network link in bytes per second. Without it, the
// gateway is never strained.
func WithBandwidth(bytesPerSecond float64) Option {
	return func(s *Service) { s.bandwidth = bytesPerSecond }
}

// WithMeter sets what counts the bytes of the connections.
func WithMeter(m *netmeter.Meter) Option { return func(s *Service) { s.meter = m } }

// WithProcessorDelay sets the source of how long requests wait for the processor now.
func WithProcessorDelay(delay func() time.Duration) Option {
	return func(s *Service) { s.processorDelay = delay }
}

// WithLimits sets the limits of open file descriptors and of memory in bytes, 0 if unknown.
func WithLimits(descriptors, memory int64) Option {
	return func(s *Service) { s.maxDescriptors, s.maxMemory = descriptors, memory }
}

// WithMetrics sets the metrics that the service updates.
func WithMetrics(set *metric.Set) Option { return func(s *Service) { s.metrics = set } }

// Service holds the state of the gateway's resources. It is safe for concurrent use.
type Service struct {
	log            hclog.Logger
	metrics        *metric.Set
	meter          *netmeter.Meter
	processorDelay func() time.Duration
	bandwidth      float64
	maxDescriptors int64

	mu    sync.Mutex
	queue *intake.Queue
	link  *intake.Link
	// state is nil if the bandwidth is unknown.
	state     *strain.State
	counted   netmeter.Counts
	maxMemory int64
	memory    float64
	begunAt   time.Time
	// missed is the number of polls in a row at which the gateway was not ready.
	missed int

	stop    chan struct{}
	running sync.WaitGroup
}

// New returns the service of an idle gateway.
func New(log hclog.Logger, opts ...Option) *Service {
	s := &Service{
		log: log.Named(Name), metrics: metric.New(), processorDelay: func() time.Duration { return 0 }, stop: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.queue, s.link = intake.New(s.bandwidth), intake.NewLink(s.bandwidth)
	if s.bandwidth > 0 {
		s.state = strain.New(exchange.DefaultDialTimeout)
	}
	s.addGauges()
	return s
}

func (s *Service) addGauges() {
	for _, r := range strain.Resources() {
		s.metrics.Gauge(strainedGauge+`{resource="`+r.String()+`"}`, func() float64 {
			if s.Strained() == r {
				return 1
			}
			return 0
		})
	}
	s.metrics.Gauge(linkDelayGauge+`{direction="receive"}`, func() float64 { return s.sample().ReceiveDelay.Seconds() })
	s.metrics.Gauge(linkDelayGauge+`{direction="transmit"}`, func() float64 { return s.sample().TransmitDelay.Seconds() })
	s.metrics.Gauge(linkBytesGauge+`{direction="receive"}`, func() float64 { return float64(s.meter.Counts().Read) })
	s.metrics.Gauge(linkBytesGauge+`{direction="transmit"}`, func() float64 { return float64(s.meter.Counts().Written) })
	s.metrics.Gauge(connectionsGauge, func() float64 { return float64(s.meter.Counts().Open) })
	s.metrics.Gauge(memoryUsedGauge, func() float64 { return s.sample().Memory })
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service. It begins to take samples.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	s.running.Go(s.run)
	return nil
}

// Close implements kernel.Service.
func (s *Service) Close() error {
	close(s.stop)
	s.running.Wait()
	return nil
}

func (s *Service) run() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sampleMemory()
			s.sample()
		case <-s.stop:
			return
		}
	}
}

// SetMemory sets the memory limit in bytes.
func (s *Service) SetMemory(limit int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxMemory = limit
}

// sampleMemory measures the part of the memory limit in use. The runtime returns unused memory to the system as it
// nears its own limit, which is below this one.
func (s *Service) sampleMemory() {
	samples := []metrics.Sample{{Name: totalMemoryName}, {Name: releasedBytesName}}
	metrics.Read(samples)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory = 0
	if s.maxMemory > 0 && samples[0].Value.Kind() == metrics.KindUint64 && samples[1].Value.Kind() == metrics.KindUint64 {
		s.memory = float64(samples[0].Value.Uint64()-samples[1].Value.Uint64()) / float64(s.maxMemory)
	}
}

// sample takes a sample and returns it.
func (s *Service) sample() strain.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.observe(time.Now())
}

// observe takes a sample. The bytes since the last one count as of now. The caller holds mu.
func (s *Service) observe(now time.Time) strain.Sample {
	counts := s.meter.Counts()
	s.link.Record(now, counts.Read-s.counted.Read, counts.Written-s.counted.Written)
	sample := strain.Sample{ProcessorDelay: s.processorDelay(), Memory: s.memory, Arrived: counts.Answered > s.counted.Answered}
	s.counted = counts
	sample.ReceiveDelay, sample.TransmitDelay = s.link.Delays(now)
	sample.MinTransmitDelay = s.link.MinTransmitDelay(now)
	if s.maxDescriptors > 0 {
		sample.Descriptors = float64(s.counted.Open+otherDescriptors) / float64(s.maxDescriptors)
	}
	before := s.state.Strained()
	s.state.Observe(now, sample)
	s.recordChange(now, before)
	return sample
}

// recordChange logs and counts that a strain began or ended. The caller holds mu.
func (s *Service) recordChange(now time.Time, before strain.Resource) {
	after := s.state.Strained()
	if (before == strain.None) == (after == strain.None) {
		return
	}
	sample := s.state.Sample()
	pairs := []any{
		"receiveDelay", sample.ReceiveDelay.Round(time.Millisecond), "transmitDelay", sample.TransmitDelay.Round(time.Millisecond),
		"processorDelay", sample.ProcessorDelay.Round(time.Millisecond), "connections", s.counted.Open, "memory", sample.Memory,
	}
	if before == strain.None {
		s.begunAt = now
		s.metrics.Counter(strainsBegun + `{resource="` + after.String() + `"}`).Inc()
		s.log.Warn("gateway strained", append(pairs, "resource", after)...)
		return
	}
	took := now.Sub(s.begunAt)
	s.metrics.Counter(strainMillis).Add(int(took.Milliseconds()))
	s.log.Info("gateway no longer strained", append(pairs, "resource", before, "took", took.Round(time.Millisecond))...)
}

// change calls f with the state and records a change that results.
func (s *Service) change(f func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	before := s.state.Strained()
	f(now)
	s.recordChange(now, before)
}

// RecordReceived records the body of a request that arrives, -1 if its size is unknown, and reports whether its
// connection should be closed with the response. That is so once two polls in a row were missed, and only until the
// gateway is ready again: before and after that, the caller would come back to this one.
func (s *Service) RecordReceived(size int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.queue.RecordReceived(now, min(max(0, size), unreadBytes)+headerBytes)
	s.observe(now)
	return !s.ready(now) && s.missed >= missedPolls
}

// Ready reports whether new connections should come to this gateway. It is called at each poll of the readiness.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observe(now)
	ready := s.ready(now)
	if s.missed++; ready {
		s.missed = 0
	}
	return ready
}

// ready reports whether the link carries less than it can and nothing else is short. The caller holds mu.
func (s *Service) ready(now time.Time) bool {
	// Both are asked each time, as they keep whether they were saturated before.
	link, bodies := s.link.Saturated(now), s.queue.Saturated(now)
	return !link && !bodies && s.state.Ready()
}

// Accept reports whether a request with a body of this size is taken, -1 if unknown, or the time after which its caller
// should come back. Priority 0 is the most urgent.
func (s *Service) Accept(size int64, priority int) (retryAfter time.Duration, accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if after, ok := s.state.Admit(now, size, priority); !ok {
		return after, false
	}
	return s.queue.Accept(now, size, priority, s.processorDelay())
}

// RecordReached records that a server accepted or refused a connection.
func (s *Service) RecordReached(server netip.AddrPort) {
	s.change(func(now time.Time) { s.state.RecordReached(now, server) })
}

// RecordResponse records a response that came so long after its request.
func (s *Service) RecordResponse(took time.Duration) {
	s.change(func(now time.Time) { s.state.RecordResponse(now, took) })
}

// RecordTimeout records that a server could not be reached, or was silent, since the given time, and reports whether that
// is evidence against it.
func (s *Service) RecordTimeout(server netip.AddrPort, since time.Time) (evidence bool) {
	s.sample()
	s.change(func(now time.Time) { evidence = s.state.RecordTimeout(now, server, since) })
	if !evidence {
		s.RecordExcused()
	}
	return evidence
}

// RecordExcused counts a failure that is no evidence against a server.
func (s *Service) RecordExcused() { s.metrics.Counter(failuresExcused).Inc() }

// Strained returns what the gateway is short of.
func (s *Service) Strained() strain.Resource {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Strained()
}

// DialTimeout returns the time for a connection attempt, or 0 for the usual one.
func (s *Service) DialTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.DialTimeout()
}

// Delay returns by how much the gateway's own shortage delays a response.
func (s *Service) Delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Delay()
}

// Pause returns how long the next send of a request waits, after so many sends, and whether there is one.
func (s *Service) Pause(sends int) (pause time.Duration, again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.Retries() {
		return 0, false
	}
	if pause = s.state.Pause(sends); pause > 0 {
		s.metrics.Counter(sendsDelayed).Inc()
	}
	return pause, true
}

// InTime reports whether a request with so much time left still reaches a server in time.
func (s *Service) InTime(left time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.InTime(left) {
		return true
	}
	s.metrics.Counter(sendsLate).Inc()
	return false
}
