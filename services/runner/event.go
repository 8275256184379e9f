package runner

import (
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
)

// event is something that the decision loop handles.
type event interface {
	isEvent()
}

type submitted struct {
	request run.Request
	reply   chan submitReply
}

type submitReply struct {
	relay *Subscription
	err   error
}

type handOver struct {
	relay run.SubscriptionID
	reply chan handOverReply
}

type handOverReply struct {
	handover run.FinalFrame
	ok       bool
}

type relayClosed struct {
	relay  run.SubscriptionID
	handed bool
}

type jobEnded struct {
	job    *job
	result run.Result
	err    error
}

type settled struct {
	run run.ID
}

type acknowledged struct {
	requestID string
	reply     chan run.Acknowledgement
}

type inquired struct {
	name  run.RequestRef
	fence bool
	reply chan inquireReply
}

type inquireReply struct {
	state run.State
	err   error
}

type fenced struct {
	entry string
	reply chan bool
}

type drained struct {
	draining bool
	reply    chan struct{}
}

func (submitted) isEvent()    {}
func (handOver) isEvent()     {}
func (relayClosed) isEvent()  {}
func (jobEnded) isEvent()     {}
func (settled) isEvent()      {}
func (acknowledged) isEvent() {}
func (inquired) isEvent()     {}
func (fenced) isEvent()       {}
func (drained) isEvent()      {}

// asRefusal returns err as a refusal. A job that ended for another reason may
// have run.
func asRefusal(err error) *refusal.Error {
	if e, ok := refusal.As(err); ok {
		return e
	}
	return &refusal.Error{Reason: refusal.ServerFailed, Outcome: refusal.Unknown, Advice: err.Error()}
}

func shuttingDown() error {
	return &refusal.Error{
		Reason:  refusal.ShuttingDown,
		Outcome: refusal.Unknown,
		Advice:  "The sidecar is shutting down: try another server.",
	}
}
