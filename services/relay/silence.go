package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/retry"
	"github.com/crocusline/crocusline/models/roster"
)

// errSilenceTimeout cancels a send if the server does not respond in the expected time and another one
// can be asked.
var errSilenceTimeout = errors.New("no response from the server within the silence timeout")

const (
	// silenceMargin is the time that an engine may spend on steps of other requests
	// before it reads the prompt.
	silenceMargin = 200 * time.Millisecond
	// slowTokensPerMs is the number of prompt tokens that a slow engine of the known deployments processes per
	// millisecond: 0.6 of the usual speed. A prediction learned from faster ones must not end the wait for it: the
	// next server would have to read a long prompt again, and the caller leaves meanwhile.
	slowTokensPerMs = 22.0
	// maxSilenceChecks bounds the work for one send to a silent server.
	maxSilenceChecks = 8
)

// silenceMonitor gives up a send if its server is silent and another one can be asked. It keeps what it
// needs of the job, which other goroutines change meanwhile.
type silenceMonitor struct {
	job          *job
	server       roster.Server
	request      balance.Request
	budget       *retry.WindowBudget
	attemptsLeft int
	startedAt    time.Time
	timeout      time.Duration
	cancel       context.CancelCauseFunc

	mu     sync.Mutex
	timer  *time.Timer
	checks int
	// stopped is set once the server has answered, the send has ended or was given up.
	stopped bool
	// reservation is the retry for which the send was given up, or nil.
	reservation *retry.Reservation
}

// watchSilence starts the monitor of a send. It returns nil if the request can't be sent again.
func (j *job) watchSilence(choice balance.Choice, sends int, cancel context.CancelCauseFunc) *silenceMonitor {
	left := min(j.route.MaxAttempts-j.possibleRuns, maxSends-sends+1) - 1
	if !j.route.Kind.Repeatable() || left <= 0 {
		return nil
	}
	m := &silenceMonitor{
		job: j, server: choice.Server, request: j.balanceRequest(), budget: j.retryBudget, attemptsLeft: left,
		startedAt: time.Now(), timeout: j.silenceTimeout(choice), cancel: cancel,
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(m.timeout, m.check)
	return m
}

// silenceTimeout returns how long to wait for the next part of a response, until its first event or all of
// it has arrived, before another server is looked for. It leaves enough time to reach the latency goal there.
func (j *job) silenceTimeout(choice balance.Choice) time.Duration {
	own := j.service.strain.Delay()
	if j.route.Kind.Streams() {
		return own + max(2*j.route.Goal, 2*max(choice.PredictedLatency, j.slowPromptTime())+silenceMargin)
	}
	return own + j.route.Goal/2
}

// slowPromptTime returns how long a slow engine takes to process the prompt. What it has cached of it is an assumption.
func (j *job) slowPromptTime() time.Duration {
	if j.pool.Engine == nil {
		return 0
	}
	return time.Duration(float64(j.request.PromptTokens) / slowTokensPerMs * float64(time.Millisecond))
}

// check gives up the send, or has the next check follow.
func (m *silenceMonitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	m.checks++
	now := time.Now()
	replacement := m.replacement(now)
	if reservation, ok := m.budget.Replace(now, replacement); ok {
		m.stopped, m.reservation = true, &reservation
		m.cancel(errSilenceTimeout)
		return
	}
	if m.checks == 1 {
		m.job.log.Info("waiting for silent server", "server", m.server.ID, "took", replacement.Waited.Round(time.Millisecond),
			"left", replacement.TimeLeft.Round(time.Millisecond), "attemptsLeft", m.attemptsLeft, "available", replacement.Available,
			"suspected", replacement.Suspected, "possible", replacement.Possible())
	}
	if m.checks < maxSilenceChecks {
		m.timer.Reset(m.timeout)
	}
}

// replacement returns the send that would replace this one. At the first check the balancer learns that
// the server is silent, so that other requests avoid it.
func (m *silenceMonitor) replacement(now time.Time) retry.Replacement {
	var choice balance.Choice
	var ok bool
	suspect := m.checks == 1 && m.job.service.strain.RecordTimeout(m.server.Address, m.startedAt)
	m.job.service.catalog.WithBalancer(m.job.pool.Name, func(b *balance.Balancer) {
		if suspect {
			b.RecordUnreachable(now, m.server.ID)
		}
		choice, ok = b.Choose(now, m.request)
	})
	return retry.Replacement{
		Available: ok, Suspected: choice.Trial, AttemptsLeft: m.attemptsLeft,
		Latency: choice.PredictedLatency, Waited: now.Sub(m.startedAt), TimeLeft: m.job.deadline.Sub(now),
	}
}

// restart has the next check follow after the timeout, as a part of the response has arrived.
func (m *silenceMonitor) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stopped {
		m.timer.Reset(m.timeout)
	}
}

// stop ends the monitor and returns the retry that was reserved, or nil.
func (m *silenceMonitor) stop() *retry.Reservation {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.timer.Stop()
	return m.reservation
}
