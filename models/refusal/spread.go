package refusal

import "time"

// minSpread is the shortest time over which callers that wait for the same moment come back.
const minSpread = 500 * time.Millisecond

// Spread returns when a caller should retry who waits for a moment that many callers wait
// for, such as the end of the backoff of all servers. The fraction, from 0 to 1, is the caller's place
// among them. The load that it answers are callers that were refused at different times and would
// return in the same instant.
func Spread(wait time.Duration, fraction float64) time.Duration {
	return wait + time.Duration(fraction*float64(max(minSpread, wait/2)))
}
