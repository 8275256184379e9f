package intake

import "time"

const (
	// acceptTime is how long new requests are taken after a planned stop began. The platform stops
	// sending connections after two failed readiness checks that are a second apart.
	acceptTime = 2300 * time.Millisecond
	// maxAcceptRatio is the largest part of the grace period in which requests are taken.
	maxAcceptRatio = 0.6
	// stopReserve is the time, and maxReserveRatio the largest part of the grace period, that is left
	// for returning tokens and ending the process once all requests have ended.
	stopReserve     = 1200 * time.Millisecond
	maxReserveRatio = 0.15
	// answerTime is how long requests that are given up have to answer their callers.
	answerTime = 200 * time.Millisecond
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
	reserve := min(stopReserve, time.Duration(maxReserveRatio*float64(grace)))
	return Stop{
		AcceptFor:   min(acceptTime, time.Duration(maxAcceptRatio*float64(grace))),
		GiveUpAfter: max(0, grace-reserve-answerTime),
		CloseAfter:  grace - reserve,
	}
}
