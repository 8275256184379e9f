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
	// maxAnswerRatio the largest part of the rest. What is left is for returning tokens and ending
	// the process.
	answerTime     = 200 * time.Millisecond
	maxAnswerRatio = 0.3
)

// Stop is the plan of a planned stop, as times after its beginning. The loads that it answers are
// callers that use open connections until the process is gone, and servers that are still at work
// when the grace period ends.
type Stop struct {
	// AcceptFor is how long requests are taken. Later ones might not end in time and are refused.
	AcceptFor time.Duration
	// GiveUpAfter is when open requests are given up, so that their callers get an answer.
	GiveUpAfter time.Duration
	// CloseAfter is when all connections are closed.
	CloseAfter time.Duration
}

// PlanStop returns the plan for the time between the signal to stop and the end of the process.
func PlanStop(grace time.Duration) Stop {
	serve := time.Duration(math.Ceil(minServeRatio * float64(grace)))
	rest := grace - serve
	giveUp := serve + time.Duration(giveUpMargin*float64(rest))
	return Stop{
		AcceptFor:   min(acceptTime, time.Duration(maxAcceptRatio*float64(grace))),
		GiveUpAfter: giveUp,
		CloseAfter:  giveUp + min(answerTime, time.Duration(maxAnswerRatio*float64(rest))),
	}
}
