package intake

import (
	"math"
	"time"
)

const (
	// acceptTime is how long new requests are taken after a planned stop began. The platform stops
	// sending connections after two failed readiness checks that are a second apart.
	acceptTime = 2300 * time.Millisecond
	// maxAcceptRatio is the largest part of the grace period in which requests are taken.
	maxAcceptRatio = 0.6
	// minServeRatio is the part of the grace period in which servers may be at work on requests. The
	// platform's operators allow to break them off after that.
	minServeRatio = 5.0 / 6
	// giveUpMargin is the part of the rest that passes before requests are given up, as clocks and
	// the signal's arrival differ.
	giveUpMargin = 0.1
	// answerTime is how long requests that are given up have to answer their callers, and
	// maxAnswerRatio the largest part of the rest.
	answerTime     = 200 * time.Millisecond
	maxAnswerRatio = 0.3
	// What is left is divided among the steps that end the process, one after the other: the close
	// of otherListeners, the return of tokens, and the removal of the entry in the directory. The
	// remainder is for the process itself. Each step has a limit, as more time doesn't help it.
	otherListeners = 2
	maxDrainTime   = 100 * time.Millisecond
	drainRatio     = 0.1
	maxReturnTime  = 700 * time.Millisecond
	returnRatio    = 0.5
	maxRemoveTime  = 300 * time.Millisecond
	removeRatio    = 0.2
)

// Stop is the plan of a planned stop, as times after its beginning. The loads that it answers are
// callers that use open connections until the process is gone, and servers that are still at work
// when the grace period ends.
type Stop struct {
	// AcceptFor is how long requests are taken. Later ones might not end in time and are refused.
	AcceptFor time.Duration
	// GiveUpAfter is when open requests are given up, so that their callers get an answer.
	GiveUpAfter time.Duration
	// CloseAfter is when all connections of callers are closed.
	CloseAfter time.Duration
	// DrainFor is how long each of the other listeners waits for its requests after that, ReturnFor
	// how long tokens are returned, and RemoveFor how long the entry in the directory is removed.
	DrainFor  time.Duration
	ReturnFor time.Duration
	RemoveFor time.Duration
}

// EndAfter returns when the last step of the stop ends at the latest.
func (s Stop) EndAfter() time.Duration {
	return s.CloseAfter + otherListeners*s.DrainFor + s.ReturnFor + s.RemoveFor
}

// PlanStop returns the plan for the time between the signal to stop and the end of the process.
func PlanStop(grace time.Duration) Stop {
	serve := time.Duration(math.Ceil(minServeRatio * float64(grace)))
	rest := grace - serve
	giveUp := serve + time.Duration(giveUpMargin*float64(rest))
	closed := giveUp + min(answerTime, time.Duration(maxAnswerRatio*float64(rest)))
	left := float64(grace - closed)
	return Stop{
		AcceptFor:   min(acceptTime, time.Duration(maxAcceptRatio*float64(grace))),
		GiveUpAfter: giveUp,
		CloseAfter:  closed,
		DrainFor:    min(maxDrainTime, time.Duration(drainRatio*left)),
		ReturnFor:   min(maxReturnTime, time.Duration(returnRatio*left)),
		RemoveFor:   min(maxRemoveTime, time.Duration(removeRatio*left)),
	}
}
