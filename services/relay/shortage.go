package relay

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/modules/delay"
	"github.com/crocusline/crocusline/modules/exchange"
)

// strainRetryAfter is about the time that a caller takes to reach another gateway.
const strainRetryAfter = 100 * time.Millisecond

// ownErrors are errors of connection attempts that this machine causes: it has no more descriptors, ports or buffers,
// or no network.
var ownErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH,
}

// failedByServer reports whether the error of a send that began at start is evidence against the server, as far as the
// send had its time.
func (j *job) failedByServer(ctx context.Context, err error, server roster.Server, start time.Time) bool {
	for _, own := range ownErrors {
		if errors.Is(err, own) {
			j.service.strain.RecordExcused()
			return false
		}
	}
	var timeout net.Error
	if exchange.Ended(ctx) == nil && errors.As(err, &timeout) && timeout.Timeout() {
		return j.service.strain.RecordTimeout(server.Address, start)
	}
	return true
}

// refusalOf returns the refusal of a request that the result shows not to have run.
func refusalOf(result notRun) *refusal.Error {
	if result.ownShortage {
		return shortageRefusal()
	}
	return refusal.New(result.reason, overloadRetryAfter, "the backend servers turned the request away")
}

func shortageRefusal() *refusal.Error {
	return refusal.New(refusal.Overloaded, strainRetryAfter, "this entry can't reach a backend server in time: another one has room")
}

// inTime reports whether the request still reaches a server in the time left, and sets the refusal if not.
func (j *job) inTime(left time.Duration) bool {
	if j.service.strain.InTime(left) {
		return true
	}
	if j.possibleRuns == 0 {
		j.lastRefusal = shortageRefusal()
	}
	return false
}

// pauseAfter waits before the next send if this gateway's shortage caused the failure of the last one. It reports
// whether the request is to be sent again.
func (j *job) pauseAfter(ctx context.Context, result sendResult, sends int) bool {
	switch result := result.(type) {
	case notRun:
		if !result.ownShortage {
			return true
		}
	case unknownOutcome:
		if !result.ownShortage {
			return true
		}
	default:
		return true
	}
	pause, again := j.service.strain.Pause(sends)
	if !again || pause >= time.Until(j.deadline) {
		return false
	}
	return delay.Wait(ctx, pause)
}
