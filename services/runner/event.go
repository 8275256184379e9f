package runner

import (
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
)

// event is a message to the event loop.
type event interface {
	isEvent()
}

type submitEvent struct {
	request run.Request
	reply   chan submitReply
}

type submitReply struct {
	subscription *Subscription
	err          error
}

type finalFrameEvent struct {
	subscription run.SubscriptionID
	reply        chan finalFrameReply
}

type finalFrameReply struct {
	frame run.FinalFrame
	ok    bool
}

type subscriptionClosedEvent struct {
	subscription run.SubscriptionID
	delivered    bool
}

type jobEndedEvent struct {
	job    *job
	result run.Result
	err    error
}

type billSettledEvent struct {
	run run.ID
}

type acknowledgeEvent struct {
	requestID string
	reply     chan run.Acknowledgement
}

type inquireEvent struct {
	ref   run.RequestRef
	fence bool
	reply chan inquireReply
}

type inquireReply struct {
	state run.State
	err   error
}

type fenceEvent struct {
	entry string
	reply chan bool
}

type drainEvent struct {
	draining bool
	reply    chan struct{}
}

func (submitEvent) isEvent()             {}
func (finalFrameEvent) isEvent()         {}
func (subscriptionClosedEvent) isEvent() {}
func (jobEndedEvent) isEvent()           {}
func (billSettledEvent) isEvent()        {}
func (acknowledgeEvent) isEvent()        {}
func (inquireEvent) isEvent()            {}
func (fenceEvent) isEvent()              {}
func (drainEvent) isEvent()              {}

// asRefusal returns err as a refusal. For any other error, the outcome is unknown,
// because the request may have run.
func asRefusal(err error) *refusal.Error {
	if e, ok := refusal.As(err); ok {
		return e
	}
	return &refusal.Error{Reason: refusal.ServerFailed, Outcome: refusal.Unknown, Advice: err.Error()}
}

func shutdownError() error {
	return &refusal.Error{
		Reason:  refusal.ShuttingDown,
		Outcome: refusal.Unknown,
		Advice:  "The sidecar is shutting down: try another server.",
	}
}
